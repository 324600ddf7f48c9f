// Package examples_test checks the example deployments.
package examples_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/settings"
	"rosemarygate/pkg/strictyaml"
)

// upstream is an element of upstreams.yaml; its keys are the flags of rosemarygate upstream.
type upstream struct {
	Service    string           `yaml:"service" required:"true"`
	Name       string           `yaml:"name" required:"true"`
	DataCentre string           `yaml:"data_centre" required:"true"`
	Listen     netip.AddrPort   `yaml:"listen" required:"true"`
	Announce   []netip.AddrPort `yaml:"announce" required:"true"`
	Slots      int              `yaml:"slots" required:"true"`
	FlowLimit  int              `yaml:"flow_limit" required:"true"`
	Credential string           `yaml:"credential" required:"true"`
}

func (u upstream) startCommand() string {
	return fmt.Sprintf("rosemarygate upstream --service %s --name %s --data-centre %s --listen %s --announce %s --slots %d --flow-limit %d --credential %s",
		u.Service, u.Name, u.DataCentre, u.Listen, joinAddresses(u.Announce), u.Slots, u.FlowLimit, u.Credential)
}

func joinAddresses(addrs []netip.AddrPort) string {
	var out []string
	for _, a := range addrs {
		out = append(out, a.String())
	}
	return strings.Join(out, ",")
}

type deployment struct {
	dir       string
	subnet    string         // contains the addresses of the daemons
	daemons   map[string]int // number by data centre
	upstreams map[string]int // number by service
	slots     int            // of each upstream
}

// deployments have the sizes of section 1.2 of the design page.
var deployments = []deployment{
	{"karri-bend", "127.1.0.0/29", map[string]int{"perth-a": 3, "perth-b": 2, "perth-c": 2},
		map[string]int{"karri-bend/ticket-and-tally": 15, "karri-bend/label": 4}, 3},
	{"guild", "127.2.0.0/29", map[string]int{"ahmedabad": 2, "vadodara": 2, "surat": 2, "rajkot": 1},
		map[string]int{"guild/speech-delivery": 15, "guild/archive": 4}, 2},
}

// TestDeployments checks that the files of each example load, that it has the size of the user's
// deployment, and that its README.md contains the commands that start it.
func TestDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.dir, func(t *testing.T) {
			readme, err := os.ReadFile(filepath.Join(d.dir, "README.md"))
			assert.NilError(t, err)
			daemons := d.checkDaemons(t, string(readme))
			c, err := config.LoadConfig(filepath.Join(d.dir, "config"))
			assert.NilError(t, err)
			checkGuaranteedSlots(t, c)
			d.checkUpstreams(t, string(readme), c, daemons)
		})
	}
}

// checkDaemons checks the settings of the daemons and returns the data centre of each daemon by its
// gRPC address.
func (d deployment) checkDaemons(t *testing.T, readme string) map[netip.AddrPort]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(d.dir, "settings", "*.yaml"))
	assert.NilError(t, err)
	daemons, replicas := map[netip.AddrPort]string{}, map[string]bool{}
	counts := map[string]int{}
	for _, file := range files {
		daemon, err := settings.Load(file)
		assert.NilError(t, err)
		assert.Equal(t, daemon.Name+".yaml", filepath.Base(file))
		assert.Assert(t, netip.MustParsePrefix(d.subnet).Contains(daemon.Host))
		assert.Equal(t, len(daemon.Control.Replicas), 3)
		assert.Assert(t, strings.Contains(readme, "rosemarygate daemon --settings examples/"+filepath.ToSlash(file)+"\n"))
		daemons[daemon.Address(daemon.Ports.GRPC)] = daemon.DataCentre
		counts[daemon.DataCentre]++
		if daemon.Control.Replica {
			replicas[daemon.DataCentre] = true
		}
	}
	assert.DeepEqual(t, counts, d.daemons)
	assert.Equal(t, len(daemons), 7)
	assert.Equal(t, len(replicas), 3, "control replicas in three data centres")
	return daemons
}

// checkGuaranteedSlots checks that the share of each class is at least one slot. A smaller share
// guarantees nothing while another class floods the upstream.
func checkGuaranteedSlots(t *testing.T, c *config.Config) {
	t.Helper()
	for _, service := range c.Services() {
		for name, class := range service.Settings.Classes {
			assert.Assert(t, class.Share*float64(service.Settings.Slots) >= 1, "%s %s", service.FullName(), name)
		}
	}
}

// checkAnnounce checks that an upstream announces itself to every daemon of its data centre and to
// one of another data centre, which takes over when its own data centre has no daemon left.
func (d deployment) checkAnnounce(t *testing.T, u upstream, daemons map[netip.AddrPort]string) {
	t.Helper()
	local, remote := 0, 0
	for _, a := range u.Announce {
		switch daemons[a] {
		case u.DataCentre:
			local++
		case "":
			t.Errorf("%s announces itself to %s, which is not the address of a daemon", u.Name, a)
		default:
			remote++
		}
	}
	assert.Equal(t, local, d.daemons[u.DataCentre], "%s does not announce itself to every daemon of %s", u.Name, u.DataCentre)
	assert.Equal(t, remote, 1)
}

func (d deployment) checkUpstreams(t *testing.T, readme string, c *config.Config, daemons map[netip.AddrPort]string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(d.dir, "upstreams.yaml"))
	assert.NilError(t, err)
	var list struct {
		Upstreams []upstream `yaml:"upstreams"`
	}
	_, errs := strictyaml.Decode("upstreams.yaml", data, &list)
	assert.NilError(t, errs.Err())
	credentials := map[string]string{}
	for _, service := range c.Services() {
		credentials[service.FullName()] = service.Settings.Credential
	}
	listenAddresses, counts := map[netip.AddrPort]bool{}, map[string]int{}
	for _, u := range list.Upstreams {
		assert.Equal(t, u.Credential, credentials[u.Service])
		d.checkAnnounce(t, u, daemons)
		assert.Assert(t, !listenAddresses[u.Listen] && u.Listen.Addr().IsLoopback())
		assert.Equal(t, u.Slots, d.slots)
		assert.Equal(t, u.FlowLimit, 2000)
		assert.Assert(t, strings.Contains(readme, u.startCommand()+"\n"), u.startCommand())
		listenAddresses[u.Listen] = true
		counts[u.Service]++
	}
	assert.DeepEqual(t, counts, d.upstreams)
}
