package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	_ "time/tzdata" // all hosts support the same time zones, also those without a time zone database

	"rosemarygate/pkg/ident"
	"rosemarygate/pkg/strictyaml"
)

// Limits of a merged configuration.
const (
	MaxServices  = 24_000 // each service uses one port on every daemon
	MaxClasses   = 100    // in one service
	MaxTokenKeys = 2      // token keys that are valid at the same time
)

// shareTolerance allows for the rounding of shares such as 0.1 that have no exact binary
// representation.
const shareTolerance = 1e-9

// check reports the faults that involve several values.
func (m *merger) check() {
	m.checkUserCount(len(m.result.Users))
	for _, name := range slices.Sorted(maps.Keys(m.result.Users)) {
		m.checkTimeZone(name, m.result.Users[name])
	}
	services := m.result.Services()
	m.checkServiceCount(len(services))
	for _, e := range services {
		m.checkService(e)
	}
	m.checkPorts(services, sync.OnceValue(func() int { return freePort(collectPorts(services)) }))
	m.checkIDs(services)
	m.checkTokenKeys()
}

func (m *merger) checkUserCount(count int) {
	if count == 0 && len(m.errs) == 0 {
		m.errs.Add(strictyaml.Missing, strictyaml.Origin{}, "", "configuration declares no user", "add a file with users and services")
	}
}

func (m *merger) checkServiceCount(count int) {
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
	m.errs.Add(strictyaml.BadValue, m.result.origins[path], path, fmt.Sprintf("time zone %q is unknown", u.TimeZone), "write an IANA name such as Australia/Perth")
}

func (m *merger) checkService(e ServiceEntry) {
	path, s := e.path(), e.Settings
	strictyaml.Require(&m.errs, s, path, m.result.origins)
	if len(s.Classes) > MaxClasses {
		m.errs.Add(strictyaml.OutOfRange, m.result.origins[path], path+".classes", fmt.Sprintf("service has %d classes", len(s.Classes)), fmt.Sprintf("declare at most %d", MaxClasses))
	}
	if _, ok := s.Classes[s.DefaultClass]; !ok && s.DefaultClass != "" {
		keyPath := path + ".default_class"
		m.errs.Add(strictyaml.Conflict, m.result.origins[keyPath], keyPath, fmt.Sprintf("class %q is not declared", s.DefaultClass), "name one of "+strings.Join(s.ClassNames(), ", ")+" or delete the key")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		strictyaml.Require(&m.errs, s.Classes[name], path+".classes."+name, m.result.origins)
	}
	m.checkShares(path, s)
}

// checkShares lists every share when their sum is over 1, since any of them may be the wrong one.
func (m *merger) checkShares(path string, s *Service) {
	sum := 0.0
	var parts []string
	for _, name := range s.ClassNames() {
		c := s.Classes[name]
		sum += c.Share
		parts = append(parts, fmt.Sprintf("%s %v (%s)", name, c.Share, m.result.origins[path+".classes."+name+".share"]))
	}
	if sum > 1+shareTolerance {
		m.errs.Add(strictyaml.Conflict, m.result.origins[path], path+".classes", fmt.Sprintf("shares add up to %.4g: %s", sum, strings.Join(parts, ", ")), "lower them to at most 1 together")
	}
}

// checkPorts reports services with the same port and suggests a free one. The services are sorted
// by full name.
func (m *merger) checkPorts(services []ServiceEntry, findFreePort func() int) {
	servicesByPort := map[uint16]ServiceEntry{}
	for _, e := range services {
		port := e.Settings.Port
		if port == 0 {
			continue
		}
		other, taken := servicesByPort[port]
		if !taken {
			servicesByPort[port] = e
			continue
		}
		portPath := e.path() + ".port"
		m.errs.Add(strictyaml.Conflict, m.result.origins[portPath], portPath,
			fmt.Sprintf("port %d is already that of %s (%s)", port, other.FullName(), m.result.origins[other.path()+".port"]),
			fmt.Sprintf("choose a port that no service has, such as %d", findFreePort()))
	}
}

func collectPorts(services []ServiceEntry) map[uint16]bool {
	used := map[uint16]bool{}
	for _, e := range services {
		used[e.Settings.Port] = true
	}
	return used
}

// freePort returns an unused port: the first one above all used ports, otherwise the highest
// unused one.
func freePort[T any](usedPorts map[uint16]T) int {
	highest := 0
	for port := range usedPorts {
		highest = max(highest, int(port))
	}
	used := func(port int) bool {
		_, found := usedPorts[uint16(port)]
		return found
	}
	const maxPort = 65535
	for port := highest; port <= maxPort; port++ {
		if !used(port) {
			return port
		}
	}
	port := maxPort
	for used(port) {
		port--
	}
	return port
}

// checkIDs reports services whose names hash to the same identifier: a token could not
// distinguish them.
func (m *merger) checkIDs(services []ServiceEntry) {
	servicesByID := map[ident.ServiceID]ServiceEntry{}
	for _, e := range services {
		if other, taken := servicesByID[e.ID]; taken {
			m.errs.Add(strictyaml.Conflict, m.result.origins[e.path()], e.path(), fmt.Sprintf("service has the identifier %s of %s", e.ID, other.FullName()), "give it another name")
		}
		servicesByID[e.ID] = e
	}
}

func (m *merger) checkTokenKeys() {
	keys := m.result.TokenKeys
	if len(keys) > MaxTokenKeys {
		m.errs.Add(strictyaml.OutOfRange, m.result.origins["token_keys"], "token_keys", fmt.Sprintf("list has %d keys", len(keys)), fmt.Sprintf("give at most %d, the newest last", MaxTokenKeys))
	}
	firstIndexByID := map[uint32]int{}
	for i, k := range keys {
		path := fmt.Sprintf("token_keys[%d]", i)
		strictyaml.Require(&m.errs, &k, path, m.result.origins)
		if first, taken := firstIndexByID[k.ID]; taken {
			m.errs.Add(strictyaml.Conflict, m.result.origins[path], path+".id", fmt.Sprintf("identifier %d is already that of token_keys[%d]", k.ID, first), "give each key a new identifier")
		}
		firstIndexByID[k.ID] = i
		if _, err := hex.DecodeString(k.Secret); err != nil {
			m.errs.Add(strictyaml.BadValue, m.result.origins[path+".secret"], path+".secret", "secret is not hexadecimal", "write an even number of the digits 0-9 and a-f")
		}
	}
}
