package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/membership"
)

const readHeaderTimeout = 5 * time.Second

// webServer is the HTTP server for metrics and status.
type webServer struct{ server *http.Server }

func newWebServer(d *Daemon) *webServer {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.Write(w) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		// Encoding fails only when the client has closed the connection.
		_ = enc.Encode(d.Status())
	})
	return &webServer{&http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}
}

func (w *webServer) serve(l net.Listener) error {
	if err := w.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (w *webServer) stop() { w.server.Close() }

// Status is a summary of the state of one daemon.
type Status struct {
	Name        string           `json:"name"`
	DataCentre  string           `json:"data_centre"`
	Incarnation uint64           `json:"incarnation"`
	State       string           `json:"state"`
	UptimeS     float64          `json:"uptime_s"`
	Version     uint64           `json:"config_version"`
	Digest      string           `json:"config_digest"`
	Replica     *ReplicaStatus   `json:"control_replica,omitempty"` // nil on daemons without a control replica
	Members     []MemberStatus   `json:"members"`
	Upstreams   []UpstreamStatus `json:"upstreams"`
	// Refusals counts refusals, retries and broken flows by reason. It lists the counters that have
	// increased since the configuration last added or removed services.
	Refusals []RefusalStatus `json:"refusals"`
}

// ReplicaStatus is the state of the daemon's control replica.
type ReplicaStatus struct {
	// Membership is voter, learner, joining, removed, superseded or none.
	Membership string `json:"membership"`
	Leader     bool   `json:"leader"`
	Version    uint64 `json:"version"` // the latest accepted version at the replica
}

// replicaStatus returns the state of the control replica; nil if there is none.
func (d *Daemon) replicaStatus() *ReplicaStatus {
	r := d.ControlReplica()
	if r == nil {
		return nil
	}
	st := r.Status()
	out := &ReplicaStatus{Leader: st.Role == agreement.Leader, Version: st.Version}
	switch {
	case !st.Loaded:
		out.Membership = "none"
	case st.Superseded:
		out.Membership = "superseded"
	case st.Removed:
		out.Membership = "removed"
	case st.Membership.IsVoter(st.Self):
		out.Membership = "voter"
	case st.Membership.Contains(st.Self):
		out.Membership = "learner"
	default:
		out.Membership = "joining"
	}
	return out
}

// RefusalStatus is the value of one counter with a reason.
type RefusalStatus struct {
	Service string `json:"service"`
	Counter string `json:"counter"`
	Reason  string `json:"reason"`
	Count   uint64 `json:"count"`
}

// MemberStatus is one daemon in the member list.
type MemberStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// UpstreamStatus is one known upstream. Only its owner reports Healthy, Flows, Running and Queued.
type UpstreamStatus struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Incarnation distinguishes the upstream's process from earlier ones.
	Incarnation uint64 `json:"incarnation"`
	Owner       string `json:"owner"`
	Draining    bool   `json:"draining"`
	Owned       bool   `json:"owned"`
	Healthy     bool   `json:"healthy"`
	Flows       int    `json:"flows"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
}

// Status returns a summary of the daemon's state.
func (d *Daemon) Status() Status {
	index := d.services.Load()
	st := Status{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		UptimeS: time.Since(d.startedAt).Seconds(), Version: index.version, Digest: index.digest,
		Refusals: d.counters.refusals(), Replica: d.replicaStatus(),
	}
	loads := map[string]UpstreamStatus{}
	if sh := d.shards.Load(); sh != nil {
		for _, l := range sh.loads() {
			s := d.sessions.find(l.Upstream)
			loads[l.Upstream.String()] = UpstreamStatus{
				Flows: l.Flows, Running: l.Running, Queued: l.Queued, Owned: true,
				Healthy: s != nil && s.healthy.Load(),
			}
		}
	}
	d.cluster.call(d.ctx, func(time.Time) {
		self := d.cluster.membershipCore.Self()
		st.Incarnation, st.State = uint64(self.Incarnation), self.State.String()
		st.Members = memberStatus(d.cluster.view)
		for id, reg := range d.cluster.assignment.knownUpstreams {
			u := loads[id.String()]
			u.Service, u.Name, u.DataCentre = index.nameOf(reg.Service), reg.Name, reg.DataCentre
			u.Incarnation, u.Draining = uint64(reg.Incarnation), reg.Draining
			if d.cluster.assignment.currentTable != nil {
				if m, ok := d.cluster.assignment.currentTable.Owner(reg.DataCentre, id); ok {
					u.Owner = m.Name
				}
			}
			st.Upstreams = append(st.Upstreams, u)
		}
	})
	sort.Slice(st.Upstreams, func(i, j int) bool {
		a, b := st.Upstreams[i], st.Upstreams[j]
		return a.Service+"/"+a.DataCentre+"/"+a.Name < b.Service+"/"+b.DataCentre+"/"+b.Name
	})
	return st
}

func memberStatus(v *membership.View) []MemberStatus {
	if v == nil {
		return nil
	}
	var out []MemberStatus
	for _, m := range v.Members {
		out = append(out, MemberStatus{Name: m.Name, DataCentre: m.DataCentre, State: m.State.String()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
