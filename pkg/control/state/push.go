package state

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

// Limits of changes and of the folder.
const (
	MaxChangeID   = 128      // bytes
	MaxOperator   = 128      // bytes
	MaxSummary    = 500      // bytes
	MaxFileName   = 200      // bytes
	MaxPushBytes  = 3 << 20  // bytes of names and contents; a gRPC message holds 4 MB
	MaxFolderSize = 32 << 20 // bytes of names and contents
	MaxFiles      = 100_000
	maxDetail     = 1000 // bytes of a validation error that a reply keeps
	recordedFiles = 8    // file names that a history record keeps
)

// push is a push under evaluation.
type push struct {
	base   uint64
	put    []*controlpb.File
	remove []string
	record controlpb.HistoryRecord
}

func (m *Machine) evaluatePush(index uint64, e *controlpb.Entry, body *controlpb.Push) (func(), *controlpb.Reply) {
	if reply := m.checkBase(body.GetBaseVersion()); reply != nil {
		return nil, reply
	}
	if reply := checkFiles(body.GetFiles()); reply != nil {
		return nil, reply
	}
	p := &push{base: body.GetBaseVersion()}
	for _, change := range body.GetFiles() {
		if reply := m.addChange(p, change); reply != nil {
			return nil, reply
		}
	}
	if len(p.put)+len(p.remove) == 0 {
		return nil, &controlpb.Reply{Version: m.view.Version, Unchanged: true}
	}
	next := m.view.Folder.With(index, p.put, p.remove)
	if reply := m.checkFolder(next, p); reply != nil {
		return nil, reply
	}
	return func() {
		m.view = newView(index, next, m.view.Keys, m.view.KeysVersion)
		m.keepAlive.observe(m.rules.LongestKeepAlive(next.Files()))
		m.record(index, e, &p.record)
	}, accepted(index)
}

// checkBase refuses a push that could be a resent one whose reply was dropped, or whose
// base is not an accepted version.
func (m *Machine) checkBase(base uint64) *controlpb.Reply {
	if m.lost(base) {
		return lostBase(m.view.Version)
	}
	r := &controlpb.Refusal{CurrentVersion: m.view.Version}
	switch {
	case base > m.view.Version:
		r.Kind = controlpb.Refusal_KIND_BASE_UNKNOWN
	case base < max(m.replies.forgotten, m.view.Folder.Horizon()):
		r.Kind = controlpb.Refusal_KIND_BASE_TOO_OLD
	default:
		return nil
	}
	return refuse(r)
}

func checkFiles(changes []*controlpb.FileChange) *controlpb.Reply {
	if len(changes) == 0 {
		return malformed("", "push without files")
	}
	seen := make(map[string]bool, len(changes))
	size := 0
	for _, c := range changes {
		if detail := badName(c.GetName()); detail != "" {
			return malformed(c.GetName(), detail)
		}
		if seen[c.GetName()] {
			return malformed(c.GetName(), "file occurs twice in the push")
		}
		seen[c.GetName()] = true
		size += len(c.GetName()) + len(c.GetData())
	}
	if size > MaxPushBytes {
		return malformed("", fmt.Sprintf("push of %d bytes is larger than %d: split it", size, MaxPushBytes))
	}
	return nil
}

func badName(name string) string {
	switch {
	case name == "" || len(name) > MaxFileName:
		return fmt.Sprintf("file names have 1 to %d bytes", MaxFileName)
	case !utf8.ValidString(name):
		return "file names are UTF-8"
	case strings.HasPrefix(name, ".") || strings.ContainsAny(name, "/\\\x00"):
		return "file names must not start with a dot or contain a path separator"
	default:
		return ""
	}
}

// addChange adds one file change to the push, or refuses it when the file is not what the
// operator saw. A change that is in force already adds nothing.
func (m *Machine) addChange(p *push, c *controlpb.FileChange) *controlpb.Reply {
	current := m.view.Folder.Get(c.GetName())
	if inForce(current, c) {
		return nil
	}
	if reply := m.checkExpectation(p.base, current, c); reply != nil {
		return reply
	}
	switch {
	case c.GetRemove():
		p.remove = append(p.remove, c.GetName())
		p.record.FilesRemoved++
	case current == nil:
		p.put = append(p.put, &controlpb.File{Name: c.GetName(), Data: c.GetData()})
		p.record.FilesAdded++
	default:
		p.put = append(p.put, &controlpb.File{Name: c.GetName(), Data: c.GetData()})
		p.record.FilesChanged++
	}
	if len(p.record.Files) < recordedFiles {
		p.record.Files = append(p.record.Files, c.GetName())
	}
	return nil
}

func inForce(current *folder.File, c *controlpb.FileChange) bool {
	if c.GetRemove() {
		return current == nil
	}
	return current != nil && bytes.Equal(current.Data, c.GetData())
}

func (m *Machine) checkExpectation(base uint64, current *folder.File, c *controlpb.FileChange) *controlpb.Reply {
	r := &controlpb.Refusal{
		Kind:           controlpb.Refusal_KIND_CONTENT_CHANGED,
		File:           c.GetName(),
		CurrentVersion: m.view.Version,
	}
	switch {
	case current == nil && c.ExpectedSha256 != nil:
		if len(c.ExpectedSha256) == 0 {
			return nil
		}
	case current == nil:
		if !m.view.Folder.RemovedAfter(c.GetName(), base) {
			return nil
		}
	case c.ExpectedSha256 != nil:
		if bytes.Equal(c.ExpectedSha256, current.Sum[:]) {
			return nil
		}
		if len(c.ExpectedSha256) == 0 && !c.GetRemove() {
			return numberTaken(m.view.Folder, c.GetName(), current.Name)
		}
	default:
		if current.Changed <= base {
			return nil
		}
		if current.Created > base && !c.GetRemove() {
			return numberTaken(m.view.Folder, c.GetName(), current.Name)
		}
	}
	return refuse(r)
}

// checkFolder checks the folder that the push would produce.
func (m *Machine) checkFolder(next *folder.Folder, p *push) *controlpb.Reply {
	if len(next.Files()) > MaxFiles || next.Size() > MaxFolderSize {
		return malformed("", fmt.Sprintf("the folder would have %d files and %d bytes; at most %d and %d are possible",
			len(next.Files()), next.Size(), MaxFiles, MaxFolderSize))
	}
	if p.record.FilesAdded > 0 {
		if reply := checkNumbers(next, m.view.Folder, p.put); reply != nil {
			return reply
		}
	}
	if err := m.rules.Validate(next.Files()); err != nil {
		return refuse(&controlpb.Refusal{
			Kind:           controlpb.Refusal_KIND_INVALID_CONFIGURATION,
			Detail:         truncate(err.Error(), maxDetail),
			CurrentVersion: m.view.Version,
		})
	}
	return nil
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return strings.ToValidUTF8(s, "?")
	}
	return strings.ToValidUTF8(s[:limit], "?")
}

// malformedEnvelope describes what is wrong with the fields that all changes have.
func malformedEnvelope(e *controlpb.Entry) string {
	switch {
	case e.GetChangeId() == "" || len(e.GetChangeId()) > MaxChangeID:
		return fmt.Sprintf("a change id has 1 to %d bytes", MaxChangeID)
	case len(e.GetOperator()) > MaxOperator:
		return fmt.Sprintf("an operator's name has at most %d bytes", MaxOperator)
	case len(e.GetSummary()) > MaxSummary:
		return fmt.Sprintf("a summary has at most %d bytes", MaxSummary)
	case e.GetTimeUnixMs() <= 0:
		return "a change needs a time"
	default:
		return ""
	}
}
