package ensemble

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
	"rosemarygate/pkg/agreement"
	"rosemarygate/pkg/ident"
)

// state is the result of all applied entries: the document, the evacuations and the removed members.
type state struct {
	document    Document
	evacuations *entrypb.Evacuations // replaced on a change, never modified
	membership  agreement.Membership
	removed     []agreement.Replica // members that were removed and have not joined again, oldest first
}

func newState() state { return state{evacuations: &entrypb.Evacuations{}} }

func unmarshalEntry(data []byte) (*entrypb.ProposeRequest, error) {
	var p entrypb.ProposeRequest
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "entry of the log cannot be read: empty the data folder; the host joins again")
	}
	return &p, nil
}

// restoreState returns the state of a snapshot.
func restoreState(snapshot *agreement.Snapshot) (state, error) {
	p, err := unmarshalEntry(snapshot.Data)
	if err != nil {
		return state{}, err
	}
	s := newState()
	s.document = Document{p.GetVersion(), p.GetContent()}
	s.membership = snapshot.Membership
	for _, r := range p.GetRemovedMembers() {
		s.removed = append(s.removed, agreement.Replica{ID: ident.DaemonID(r.GetId()), Incarnation: ident.Incarnation(r.GetIncarnation())})
	}
	if p.GetEvacuations() != nil {
		s.evacuations = p.GetEvacuations()
	}
	return s, nil
}

func (s *state) marshal() ([]byte, error) {
	p := &entrypb.ProposeRequest{Version: s.document.Version, Content: s.document.Content}
	if len(s.evacuations.GetDataCentres()) > 0 {
		p.Evacuations = s.evacuations
	}
	for _, r := range s.removed {
		p.RemovedMembers = append(p.RemovedMembers, &entrypb.RemovedMember{Id: uint64(r.ID), Incarnation: uint64(r.Incarnation)})
	}
	return proto.Marshal(p)
}

// applyEntry applies an entry of the log. rejected is the reason why an order changes nothing.
func (s *state) applyEntry(e *agreement.Entry) (rejected, err error) {
	switch e.Kind {
	case agreement.EntryData:
		return s.apply(e.Index, e.Data)
	case agreement.EntryMembership:
		s.applyMembership(e.Membership)
	}
	return nil, nil
}

// applyMembership records which members a new membership lacks.
func (s *state) applyMembership(next agreement.Membership) {
	removed := slices.Clone(s.removed)
	for _, m := range s.membership {
		removed = append(removed, m.Replica)
	}
	removed = slices.DeleteFunc(removed, func(r agreement.Replica) bool {
		_, isMember := next.Find(r.ID)
		return isMember
	})
	s.membership, s.removed = next, removed[max(0, len(removed)-maxRemovedMembers):]
}

// apply applies the document or the order at an index of the log.
func (s *state) apply(index uint64, data []byte) (rejected, err error) {
	p, err := unmarshalEntry(data)
	if err != nil {
		return nil, err
	}
	if o := p.GetEvacuationOrder(); o != nil {
		return s.applyOrder(index, o), nil
	}
	if p.GetVersion() > s.document.Version {
		s.document = Document{p.GetVersion(), p.GetContent()}
	}
	return nil, nil
}

// applyOrder applies an order unless another one has been applied since it arrived. An order that finds the
// data centre as ordered raises the revision all the same: a contrary order that arrived earlier and is
// applied later must not undo what was acknowledged.
func (s *state) applyOrder(index uint64, o *entrypb.EvacuationOrder) (rejected error) {
	latest := latestOrder(s.evacuations, o.GetDataCentre())
	asOrdered := latest.GetInForce() == o.GetBegin()
	if latest.GetRevision() != o.GetBaseRevision() {
		if asOrdered {
			return nil
		}
		return ErrOvertaken
	}
	next := &entrypb.Evacuation{
		DataCentre: o.GetDataCentre(), InForce: o.GetBegin(), Revision: index,
		OrderedUnixMs: o.GetOrderedUnixMs(), OrderedAt: o.GetOrderedAt(),
	}
	e := &entrypb.Evacuations{Revision: index, DataCentres: slices.Clone(s.evacuations.GetDataCentres())}
	if asOrdered {
		e.Revision = s.evacuations.GetRevision()
		if latest != nil {
			next.OrderedUnixMs, next.OrderedAt = latest.GetOrderedUnixMs(), latest.GetOrderedAt()
		}
	}
	i, known := findDataCentre(e, o.GetDataCentre())
	if known {
		e.DataCentres[i] = next
	} else {
		e.DataCentres = slices.Insert(e.DataCentres, i, next)
	}
	s.evacuations = e
	return nil
}

func findDataCentre(e *entrypb.Evacuations, dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(e.GetDataCentres(), dataCentre, func(e *entrypb.Evacuation, name string) int {
		return strings.Compare(e.GetDataCentre(), name)
	})
}

// latestOrder returns the latest order for a data centre, nil if there is none.
func latestOrder(e *entrypb.Evacuations, dataCentre string) *entrypb.Evacuation {
	if i, known := findDataCentre(e, dataCentre); known {
		return e.GetDataCentres()[i]
	}
	return nil
}

// appliedEvacuations are the evacuations in force at a host, with the time at which the host has applied the latest
// order of each data centre. The value is not modified.
type appliedEvacuations struct {
	*entrypb.Evacuations
	appliedAt map[string]time.Time // by data centre
}

// next returns the value after a change at a time.
func (a *appliedEvacuations) next(e *entrypb.Evacuations, now time.Time) *appliedEvacuations {
	appliedAt := map[string]time.Time{}
	for _, d := range e.GetDataCentres() {
		if latestOrder(a.Evacuations, d.GetDataCentre()).GetRevision() == d.GetRevision() {
			appliedAt[d.GetDataCentre()] = a.appliedAt[d.GetDataCentre()]
		} else {
			appliedAt[d.GetDataCentre()] = now
		}
	}
	return &appliedEvacuations{e, appliedAt}
}

// overtakes reports whether an order would undo one that may have been given after it was sent.
func (a *appliedEvacuations) overtakes(o *entrypb.EvacuationOrder, sentAfter time.Time) bool {
	latest := latestOrder(a.Evacuations, o.GetDataCentre())
	return latest.GetInForce() != o.GetBegin() && a.appliedAt[o.GetDataCentre()].After(sentAfter)
}
