package directory

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	entrypb "rosemarygate/api/entry/v1"
)

// maxSnapshotBytes bounds an unpacked snapshot: 24,000 routes and 110,000 upstreams take about 12 MB.
const maxSnapshotBytes = 32 << 20

var errSnapshotTooLarge = errors.New("snapshot of a control host is larger than 32 MB: check the release of the control host")

// PackSnapshot compresses a snapshot. Starting entry daemons have slow links, and their routes and upstreams
// share most of their bytes.
func PackSnapshot(s *entrypb.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil { // writes the last block
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

// UnpackSnapshot is the inverse of PackSnapshot.
func UnpackSnapshot(packed []byte) (*entrypb.Snapshot, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of a control host cannot be unpacked: another host is tried")
	}
	if len(data) > maxSnapshotBytes {
		return nil, errors.WithStack(errSnapshotTooLarge)
	}
	s := &entrypb.Snapshot{}
	return s, errors.Wrap(proto.Unmarshal(data, s), "snapshot of a control host cannot be decoded: another host is tried")
}
