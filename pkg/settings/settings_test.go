package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `name: perth-a-1
data_centre: perth-a
host: 127.1.0.1
config_dir: conf
`

// writeSettings writes a settings file to a new folder with a subfolder conf, and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.Mkdir(filepath.Join(dir, "conf"), 0o700))
	path := filepath.Join(dir, "daemon.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against paths that depend on the working directory of the daemon.
func TestLoadSetsDefaultsAndResolvesPaths(t *testing.T) {
	path := writeSettings(t, validSettings)
	d, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, d.Ports, Ports{Peer: 7900, GRPC: 7901, HTTP: 7902})
	assert.Equal(t, d.ConfigDir, filepath.Join(filepath.Dir(path), "conf"))
	assert.Equal(t, d.Address(d.Ports.Peer), netip.MustParseAddrPort("127.1.0.1:7900"))
	assert.NilError(t, d.Check())
}

// Guards against faulty settings that cause a failure, or expose traffic, only after the start.
func TestLoadReportsEachFault(t *testing.T) {
	replica := "name: a\ndata_centre: x\nhost: 127.1.0.1\n"
	for _, c := range []struct{ in, want string }{
		{"name: A\ndata_centre: x\nhost: 127.1.0.1\nconfig_dir: conf\n", `:1: name: daemon name "A" is not valid: use 1 to 63 lower-case letters, digits and dashes, with no dash at either end`},
		{validSettings + "hots: 1\n", `:5: key "hots" is unknown: the keys here are cluster_key, config_dir, control, data_centre, data_dir, host, name, near_data_centres, ports, seeds, tls`},
		{strings.Replace(validSettings, "127.1.0.1", "127.1.0.1:80", 1), `:3: host: "127.1.0.1:80" is not an IP address: write one such as 127.1.0.1, without a port`},
		{strings.Replace(validSettings, "127.1.0.1", "0.0.0.0", 1) + "tls: {certificate: c, key: k, authority: a}\ncluster_key: f\n", `:3: host: 0.0.0.0 is not the address of one host: write the address at which other daemons reach this one`},
		{strings.Replace(validSettings, "127.1.0.1", "10.0.0.1", 1) + "cluster_key: f\n", `:3: host: 10.0.0.1 is not a loopback address and tls is not set: name the files tls.certificate, tls.key and tls.authority`},
		{validSettings + "seeds: [\"10.0.0.1:7900\"]\n", `:5: seeds[0]: 10.0.0.1 is not a loopback address and tls is not set: name the files tls.certificate, tls.key and tls.authority`},
		{validSettings + "seeds: [\"127.1.0.2:7900\", \"127.1.0.2:7900\"]\n", `:5: seeds[1]: 127.1.0.2:7900 is listed twice: delete one of the two`},
		{validSettings + "seeds: [127.1.0.2]\n", `:5: seeds[0]: "127.1.0.2" is not an IP address with a port: write one such as 127.1.0.1:7000`},
		{validSettings + "ports: {grpc: 9, http: 9}\n", `:5: ports.http: port 9 is also that of grpc: choose another port`},
		{validSettings + "ports: {peer: 0}\n", `:5: ports.peer: 0 is out of range: the limits are 1 to 65535`},
		{validSettings + "tls: {certificate: c, key: k}\n", `:5: tls.authority: value is missing: name all three files of tls, or none for plaintext on loopback`},
		{validSettings + "cluster_key: absent\n", `:5: cluster_key: file DIR/absent cannot be read: no such file or directory: name an existing file that the daemon may read`},
		{validSettings + "cluster_key: conf\n", `:5: cluster_key: file DIR/conf cannot be read: is a directory: name an existing file that the daemon may read`},
		{validSettings + "data_dir: daemon.yaml\n", `:5: data_dir: DIR/daemon.yaml is not a folder: name a folder`},
		{validSettings + "control: {replicas: [{name: b, address: \"127.1.0.2:7901\"}]}\n", `:4: config_dir: configuration comes from control.replicas as well: delete config_dir and push the folder to the replicas, or delete control`},
		{replica, `:1: config_dir: configuration comes from nowhere: set config_dir or control.replicas`},
		{replica + "control: {replica: true, replicas: [{name: a, address: \"127.1.0.1:7901\"}]}\n", `:1: data_dir: value is missing on a control replica: name a folder on the host's disk`},
		{replica + "control: {replicas: [{name: a, address: \"127.1.0.1:7901\"}]}\n", `:4: control.replicas[0].name: this daemon is listed, but control.replica is false: set control.replica to true or delete it from the list`},
		{replica + "data_dir: d\ncontrol: {replica: true, replicas: [{name: b, address: \"127.1.0.2:7901\"}]}\n", `:5: control.replica: daemon "a" is not among control.replicas: add its name and gRPC address to the list`},
		{replica + "data_dir: d\ncontrol: {replica: true, replicas: [{name: a, address: \"127.1.0.1:1\"}]}\n", `:5: control.replicas[0].address: 127.1.0.1:1 is not the gRPC address of this daemon: write 127.1.0.1:7901`},
		{replica + "control: {replicas: [{name: b}]}\n", `:4: control.replicas[0].address: value is missing: add the key address`},
	} {
		path := writeSettings(t, c.in)
		_, err := Load(path)
		assert.Assert(t, err != nil, "no error for\n%s", c.in)
		got := strings.ReplaceAll(strings.TrimPrefix(err.Error(), path), filepath.Dir(path), "DIR")
		assert.Equal(t, got, c.want, "input\n%s", c.in)
	}
	_, err := Load(filepath.Join(t.TempDir(), "absent.yaml"))
	assert.ErrorContains(t, err, "absent.yaml: settings file cannot be read: no such file or directory: name an existing file with --settings")
}

// Guards against a report of only the first fault, which costs the operator a restart for each.
func TestLoadReportsAllFaults(t *testing.T) {
	_, err := Load(writeSettings(t, "name: a\nport: 1\nhost: 8.8.8.8\nseeds: [x]\nports: {http: 70000}\n"))
	// Unknown key port, no data centre, invalid seed, port out of range, no source of the configuration,
	// no cluster key, no TLS.
	assert.Equal(t, strings.Count(err.Error(), "\n")+1, 7, err.Error())
}

// Guards against a cluster key that is too short or that every user of the host can read.
func TestSecretFilesAreChecked(t *testing.T) {
	path := writeSettings(t, validSettings+"cluster_key: key\n")
	key := filepath.Join(filepath.Dir(path), "key")
	assert.NilError(t, os.WriteFile(key, []byte("  too-short\n"), 0o600))
	_, err := Load(path)
	assert.ErrorContains(t, err, "cluster_key: key has 9 bytes: write a random key of 16 to 4096 bytes")
	assert.NilError(t, os.WriteFile(key, []byte("sixteen-or-more-bytes"), 0o600))
	_, err = Load(path)
	assert.NilError(t, err)

	assert.NilError(t, os.Chmod(key, 0o644))
	d := &Daemon{Name: "a", DataCentre: "x", Host: netip.MustParseAddr("10.0.0.1"), ConfigDir: filepath.Dir(path), ClusterKey: key, TLS: TLS{key, key, key}}
	err = d.Check()
	for _, want := range []string{
		"cluster_key: file " + key + " can be read by every user of the host: run chmod o-rwx on it",
		"tls.key: certificate and key do not form a pair", "tls.authority: file " + key + " holds no certificate",
	} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against a panic on an invalid settings file.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("control: {replica: true, replicas: [{name: a}, null]}\nseeds: [null, \"[::1]:1\"]\nhost: \"fe80::1%x\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, origins, errs := decode("f", data)
		d.resolve("dir")
		d.check(origins, &errs)
		_ = errs.Err()
	})
}
