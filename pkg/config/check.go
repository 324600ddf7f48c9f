package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	_ "time/tzdata" // hosts without a zone database know the same names

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/strictyaml"
)

// Limits of a merged configuration.
const (
	MaxServices = 24_000 // each service has a port of its own on every daemon
	MaxClasses  = 100    // in one service
	MaxKeys     = 2      // token keys that are valid at a time
)

// shareTolerance absorbs the rounding of shares such as 0.1 that have no exact binary form.
const shareTolerance = 1e-9

// check reports what single values cannot show.
func (m *merger) check() {
	m.checkUsers(len(m.into.Users))
	for _, name := range slices.Sorted(maps.Keys(m.into.Users)) {
		m.checkTimeZone(name, m.into.Users[name])
	}
	services := m.into.Services()
	m.checkServices(len(services))
	for _, e := range services {
		m.checkService(e)
	}
	m.checkPorts(services, sync.OnceValue(func() int { return freePort(portsOf(services)) }))
	m.checkIDs(services)
	m.checkTokenKeys()
}

func (m *merger) checkUsers(count int) {
	if count == 0 && len(m.errs) == 0 {
		m.errs.Add(strictyaml.Missing, strictyaml.Origin{}, "", "configuration declares no user", "add a file with users and services")
	}
}

func (m *merger) checkServices(count int) {
	if count > MaxServices {
		m.errs.Add(strictyaml.OutOfRange, strictyaml.Origin{}, "users", fmt.Sprintf("there are %d services", count), fmt.Sprintf("declare at most %d", MaxServices))
	}
}

func (m *merger) checkTimeZone(name string, u *User) {
	path := userPath(name) + ".time_zone"
	_, err := time.LoadLocation(u.TimeZone)
	if err == nil && u.TimeZone != "Local" && u.TimeZone != "" {
		return
	}
	m.errs.Add(strictyaml.BadValue, m.into.origins[path], path, fmt.Sprintf("time zone %q is unknown", u.TimeZone), "write an IANA name such as Australia/Perth")
}

func (m *merger) checkService(e ServiceEntry) {
	path, s := e.path(), e.Settings
	strictyaml.Require(&m.errs, s, path, m.into.origins)
	if len(s.Classes) > MaxClasses {
		m.errs.Add(strictyaml.OutOfRange, m.into.origins[path], path+".classes", fmt.Sprintf("service has %d classes", len(s.Classes)), fmt.Sprintf("declare at most %d", MaxClasses))
	}
	if _, ok := s.Classes[s.DefaultClass]; !ok && s.DefaultClass != "" {
		at := path + ".default_class"
		m.errs.Add(strictyaml.Conflict, m.into.origins[at], at, fmt.Sprintf("class %q is not declared", s.DefaultClass), "name one of "+strings.Join(s.ClassNames(), ", ")+" or delete the key")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		strictyaml.Require(&m.errs, s.Classes[name], path+".classes."+name, m.into.origins)
	}
	m.checkShares(path, s)
}

// checkShares names every share of a service whose sum is over 1, since any of them may
// be the wrong one.
func (m *merger) checkShares(path string, s *Service) {
	sum := 0.0
	var parts []string
	for _, name := range s.ClassNames() {
		c := s.Classes[name]
		sum += c.Share
		parts = append(parts, fmt.Sprintf("%s %v (%s)", name, c.Share, m.into.origins[path+".classes."+name+".share"]))
	}
	if sum > 1+shareTolerance {
		m.errs.Add(strictyaml.Conflict, m.into.origins[path], path+".classes", fmt.Sprintf("shares add up to %.4g: %s", sum, strings.Join(parts, ", ")), "lower them to at most 1 together")
	}
}

// checkPorts takes the services by full name, and a port that none has.
func (m *merger) checkPorts(services []ServiceEntry, free func() int) {
	users := map[uint16]ServiceEntry{}
	for _, e := range services {
		port := e.Settings.Port
		if port == 0 {
			continue
		}
		other, taken := users[port]
		if !taken {
			users[port] = e
			continue
		}
		at := e.path() + ".port"
		m.errs.Add(strictyaml.Conflict, m.into.origins[at], at,
			fmt.Sprintf("port %d is already that of %s (%s)", port, other.FullName(), m.into.origins[other.path()+".port"]),
			fmt.Sprintf("choose a port that no service has, such as %d", free()))
	}
}

func portsOf(services []ServiceEntry) map[uint16]bool {
	used := map[uint16]bool{}
	for _, e := range services {
		used[e.Settings.Port] = true
	}
	return used
}

// freePort returns a port that is not in use, above those in use where there is one.
func freePort[T any](ports map[uint16]T) int {
	highest := 0
	for port := range ports {
		highest = max(highest, int(port))
	}
	used := func(port int) bool {
		_, found := ports[uint16(port)]
		return found
	}
	const last = 65535
	for port := highest; port <= last; port++ {
		if !used(port) {
			return port
		}
	}
	port := last
	for used(port) {
		port--
	}
	return port
}

// checkIDs reports two services whose names hash to one identifier: a token could not
// tell them apart.
func (m *merger) checkIDs(services []ServiceEntry) {
	seen := map[ident.ServiceID]ServiceEntry{}
	for _, e := range services {
		if other, taken := seen[e.ID]; taken {
			m.errs.Add(strictyaml.Conflict, m.into.origins[e.path()], e.path(), fmt.Sprintf("service has the identifier %s of %s", e.ID, other.FullName()), "give it another name")
		}
		seen[e.ID] = e
	}
}

func (m *merger) checkTokenKeys() {
	keys := m.into.TokenKeys
	if len(keys) > MaxKeys {
		m.errs.Add(strictyaml.OutOfRange, m.into.origins["token_keys"], "token_keys", fmt.Sprintf("list has %d keys", len(keys)), fmt.Sprintf("give at most %d, the newest last", MaxKeys))
	}
	seen := map[uint32]int{}
	for i, k := range keys {
		path := fmt.Sprintf("token_keys[%d]", i)
		strictyaml.Require(&m.errs, &k, path, m.into.origins)
		if first, taken := seen[k.ID]; taken {
			m.errs.Add(strictyaml.Conflict, m.into.origins[path], path+".id", fmt.Sprintf("identifier %d is already that of token_keys[%d]", k.ID, first), "give each key a new identifier")
		}
		seen[k.ID] = i
		if _, err := hex.DecodeString(k.Secret); err != nil {
			m.errs.Add(strictyaml.BadValue, m.into.origins[path+".secret"], path+".secret", "secret is not hexadecimal", "write an even number of the digits 0-9 and a-f")
		}
	}
}
