package state

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemarygate/api/control/v1"
	"rosemarygate/pkg/control/folder"
)

const snapshotFormat = 1

// Snapshot returns the whole state as bytes. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &controlpb.StateSnapshot{
		Format:             snapshotFormat,
		AppliedIndex:       m.applied,
		Version:            m.view.Version,
		Keys:               m.view.Keys,
		LastKeyId:          m.lastKeyID,
		LastRotationUnixMs: m.lastRotated,
		KeepAliveMs:        m.keepAlive.current.Milliseconds(),
		EarlierKeepAliveMs: m.keepAlive.earlier.Milliseconds(),
		History:            m.history.records,
		HistoryTruncated:   m.history.truncated,
		ForgottenIndex:     m.replies.lastDroppedIndex,
		Replicas:           m.replicas,
		Replacement:        m.replacement,
		RemovedHorizon:     m.view.Folder.RemovalHorizon(),
		KeysVersion:        m.view.KeysVersion,
		Recoveries:         m.recoveries,
	}
	for _, f := range m.view.Folder.Files() {
		s.Files = append(s.Files, &controlpb.StoredFile{Name: f.Name, Data: f.Data, CreatedVersion: f.CreatedVersion, ChangedVersion: f.ChangedVersion})
	}
	for _, r := range m.view.Folder.Removals() {
		s.Removed = append(s.Removed, &controlpb.RemovedFile{Name: r.Name, Version: r.Version})
	}
	for _, change := range m.replies.order {
		first := m.replies.byChange[change]
		s.Replies = append(s.Replies, &controlpb.RememberedReply{
			Change: change[:], Content: first.contentHash[:], Index: first.index, Reply: first.reply,
		})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return b, errors.Wrap(err, "encode the state's snapshot")
}

// Restore returns a machine with the state of a snapshot.
func Restore(rules Rules, data []byte) (*Machine, error) {
	m := New(rules)
	return m, m.restore(data)
}

func (m *Machine) restore(data []byte) error {
	var s controlpb.StateSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "the snapshot cannot be decoded: replace this replica")
	}
	if s.GetFormat() != snapshotFormat {
		return errors.Errorf("the snapshot has format %d, not %d: run the release that wrote it", s.GetFormat(), snapshotFormat)
	}
	m.applied = s.GetAppliedIndex()
	m.lastKeyID = s.GetLastKeyId()
	m.lastRotated = s.GetLastRotationUnixMs()
	m.keepAlive.current = time.Duration(s.GetKeepAliveMs()) * time.Millisecond
	m.keepAlive.earlier = time.Duration(s.GetEarlierKeepAliveMs()) * time.Millisecond
	m.history.records = s.GetHistory()
	m.history.truncated = s.GetHistoryTruncated()
	m.replicas = s.GetReplicas()
	m.replacement = s.GetReplacement()
	m.recoveries = s.GetRecoveries()
	m.view = newView(s.GetVersion(), restoreFolder(&s), s.GetKeys(), s.GetKeysVersion())
	return m.restoreReplies(&s)
}

func restoreFolder(s *controlpb.StateSnapshot) *folder.Folder {
	files := make([]*folder.File, 0, len(s.GetFiles()))
	for _, f := range s.GetFiles() {
		files = append(files, folder.NewFile(f.GetName(), f.GetData(), f.GetCreatedVersion(), f.GetChangedVersion()))
	}
	removals := make([]folder.Removal, 0, len(s.GetRemoved()))
	for _, r := range s.GetRemoved() {
		removals = append(removals, folder.Removal{Name: r.GetName(), Version: r.GetVersion()})
	}
	return folder.New(files, removals, s.GetRemovedHorizon())
}

func (m *Machine) restoreReplies(s *controlpb.StateSnapshot) error {
	for _, stored := range s.GetReplies() {
		if len(stored.GetChange()) != hashSize || len(stored.GetContent()) != hashSize {
			return errors.New("the snapshot holds a reply without its change: replace this replica")
		}
		m.replies.add(hash(stored.GetChange()), &cachedReply{hash(stored.GetContent()), stored.GetIndex(), stored.GetReply()})
	}
	m.replies.lastDroppedIndex = s.GetForgottenIndex()
	return nil
}
