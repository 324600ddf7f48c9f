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
	MaxChangeIDBytes = 128
	MaxOperatorBytes = 128
	MaxSummaryBytes  = 500
	MaxFileNameBytes = 200
	MaxPushBytes     = 3 << 20  // names and contents; a gRPC message holds 4 MB
	MaxFolderBytes   = 32 << 20 // names and contents
	MaxFiles         = 100_000
	maxDetailBytes   = 1000 // of a validation error in a reply
	maxRecordedFiles = 8    // file names in a history record
)

// push is a push under evaluation.
type push struct {
	base         uint64
	putFiles     []*controlpb.File
	removedFiles []string
	record       controlpb.HistoryRecord
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
	if len(p.putFiles)+len(p.removedFiles) == 0 {
		return nil, &controlpb.Reply{Version: m.view.Version, Unchanged: true}
	}
	next := m.view.Folder.WithChange(index, p.putFiles, p.removedFiles)
	if reply := m.checkFolder(next, p); reply != nil {
		return nil, reply
	}
	return func() {
		m.view = newView(index, next, m.view.Keys, m.view.KeysVersion)
		m.keepAlive.observe(m.rules.LongestKeepAlive(next.Files()))
		m.record(index, e, &p.record)
	}, acceptedReply(index)
}

// checkBase refuses a push whose base is not an accepted version, and one that is so old that it
// could have been sent before and its first reply dropped.
func (m *Machine) checkBase(base uint64) *controlpb.Reply {
	if m.lostInRecovery(base) {
		return lostBaseReply(m.view.Version)
	}
	r := &controlpb.Refusal{CurrentVersion: m.view.Version}
	switch {
	case base > m.view.Version:
		r.Kind = controlpb.Refusal_KIND_BASE_UNKNOWN
	case base < max(m.replies.lastDroppedIndex, m.view.Folder.RemovalHorizon()):
		r.Kind = controlpb.Refusal_KIND_BASE_TOO_OLD
	default:
		return nil
	}
	return refusedReply(r)
}

func checkFiles(changes []*controlpb.FileChange) *controlpb.Reply {
	if len(changes) == 0 {
		return malformedReply("", "push without files")
	}
	seen := make(map[string]bool, len(changes))
	size := 0
	for _, c := range changes {
		if detail := fileNameProblem(c.GetName()); detail != "" {
			return malformedReply(c.GetName(), detail)
		}
		if seen[c.GetName()] {
			return malformedReply(c.GetName(), "file occurs twice in the push")
		}
		seen[c.GetName()] = true
		size += len(c.GetName()) + len(c.GetData())
	}
	if size > MaxPushBytes {
		return malformedReply("", fmt.Sprintf("push of %d bytes is larger than %d: split it", size, MaxPushBytes))
	}
	return nil
}

// fileNameProblem returns the fault in a file name, empty if there is none.
func fileNameProblem(name string) string {
	switch {
	case name == "" || len(name) > MaxFileNameBytes:
		return fmt.Sprintf("file names have 1 to %d bytes", MaxFileNameBytes)
	case !utf8.ValidString(name):
		return "file names are UTF-8"
	case strings.HasPrefix(name, ".") || strings.ContainsAny(name, "/\\\x00"):
		return "file names must not start with a dot or contain a path separator"
	default:
		return ""
	}
}

// addChange adds one file change to the push. It refuses the change if the file was modified since
// the operator read it, and ignores one that the folder already contains.
func (m *Machine) addChange(p *push, c *controlpb.FileChange) *controlpb.Reply {
	current := m.view.Folder.Get(c.GetName())
	if isNoOp(current, c) {
		return nil
	}
	if reply := m.checkExpectation(p.base, current, c); reply != nil {
		return reply
	}
	switch {
	case c.GetRemove():
		p.removedFiles = append(p.removedFiles, c.GetName())
		p.record.FilesRemoved++
	case current == nil:
		p.putFiles = append(p.putFiles, &controlpb.File{Name: c.GetName(), Data: c.GetData()})
		p.record.FilesAdded++
	default:
		p.putFiles = append(p.putFiles, &controlpb.File{Name: c.GetName(), Data: c.GetData()})
		p.record.FilesChanged++
	}
	if len(p.record.Files) < maxRecordedFiles {
		p.record.Files = append(p.record.Files, c.GetName())
	}
	return nil
}

// isNoOp reports whether a change would leave the file as it is.
func isNoOp(current *folder.File, c *controlpb.FileChange) bool {
	if c.GetRemove() {
		return current == nil
	}
	return current != nil && bytes.Equal(current.Data, c.GetData())
}

// checkExpectation refuses a change of a file that differs from the content the operator expects:
// the given checksum, where empty means that there is no such file, else the base version.
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
			return numberTakenReply(m.view.Folder, c.GetName(), current.Name)
		}
	default:
		if current.ChangedVersion <= base {
			return nil
		}
		if current.CreatedVersion > base && !c.GetRemove() {
			return numberTakenReply(m.view.Folder, c.GetName(), current.Name)
		}
	}
	return refusedReply(r)
}

// checkFolder refuses a push whose resulting folder would be too large or invalid.
func (m *Machine) checkFolder(next *folder.Folder, p *push) *controlpb.Reply {
	if len(next.Files()) > MaxFiles || next.Size() > MaxFolderBytes {
		return malformedReply("", fmt.Sprintf("the folder would have %d files and %d bytes; at most %d and %d are possible",
			len(next.Files()), next.Size(), MaxFiles, MaxFolderBytes))
	}
	if p.record.FilesAdded > 0 {
		if reply := checkFileNumbers(next, m.view.Folder, p.putFiles); reply != nil {
			return reply
		}
	}
	if err := m.rules.Validate(next.Files()); err != nil {
		return refusedReply(&controlpb.Refusal{
			Kind:           controlpb.Refusal_KIND_INVALID_CONFIGURATION,
			Detail:         truncate(err.Error(), maxDetailBytes),
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

// envelopeProblem returns the fault in the fields that all changes share, empty if there is none.
func envelopeProblem(e *controlpb.Entry) string {
	switch {
	case e.GetChangeId() == "" || len(e.GetChangeId()) > MaxChangeIDBytes:
		return fmt.Sprintf("a change id has 1 to %d bytes", MaxChangeIDBytes)
	case len(e.GetOperator()) > MaxOperatorBytes:
		return fmt.Sprintf("an operator's name has at most %d bytes", MaxOperatorBytes)
	case len(e.GetSummary()) > MaxSummaryBytes:
		return fmt.Sprintf("a summary has at most %d bytes", MaxSummaryBytes)
	case e.GetTimeUnixMs() <= 0:
		return "a change needs a time"
	default:
		return ""
	}
}
