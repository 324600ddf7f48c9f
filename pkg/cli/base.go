package cli

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	controlpb "rosemarygate/api/control/v1"
	"rosemarygate/pkg/config"
)

const (
	// baseFile records the accepted version that a folder was last equal to. Its name begins with
	// a dot, so it is no configuration file.
	baseFile   = ".accepted-version"
	folderMode = 0o755
	fileMode   = 0o600 // configuration files hold credentials
)

// base is what the operator's folder was based on.
type base struct {
	Version uint64            `yaml:"version"`
	Sums    map[string]string `yaml:"sha256"` // by file name, hexadecimal
	// Folded are the files whose values another file has taken over; the next push removes them.
	Folded []string `yaml:"folded,omitempty"`
}

func sum(data []byte) string {
	s := sha256.Sum256(data)
	return hex.EncodeToString(s[:])
}

// readBase returns the base of a folder; a folder without one has never been equal to an accepted
// version.
func readBase(dir string) (*base, error) {
	b := &base{Sums: map[string]string{}}
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return b, nil
	}
	if err == nil {
		err = yaml.Unmarshal(data, b)
	}
	return b, errors.Wrapf(err, "%s cannot be read: fetch the folder again with \"config show --accepted --out\"", baseFile)
}

func (b *base) write(dir string) error {
	data, err := yaml.Marshal(b)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(renameio.WriteFile(filepath.Join(dir, baseFile), data, fileMode))
}

// changes returns the files that differ from the base, and the removals.
func (b *base) changes(files []config.File, remove []string) []*controlpb.FileChange {
	var out []*controlpb.FileChange
	present := make(map[string]bool, len(files))
	for _, f := range files {
		present[f.Name] = true
		if b.Sums[f.Name] != sum(f.Data) {
			out = append(out, &controlpb.FileChange{Name: f.Name, Data: f.Data})
		}
	}
	remove = append(slices.Clone(remove), slices.DeleteFunc(slices.Clone(b.Folded), func(name string) bool { return present[name] })...)
	slices.Sort(remove)
	for _, name := range slices.Compact(remove) {
		out = append(out, &controlpb.FileChange{Name: name, Remove: true})
	}
	return out
}

// changeID derives the id of a change from its base and content, so that the same command, repeated
// after its reply was lost, is recognised, and a later change back to the same content is not.
func changeID(p *controlpb.Push) string {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, p.GetBaseVersion()))
	for _, c := range p.GetFiles() {
		h.Write([]byte(c.GetName() + "\x00" + sum(c.GetData()) + "\x00"))
		if c.GetRemove() {
			h.Write([]byte("remove"))
		}
	}
	const idBytes = 12
	return "content-" + hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// writeAccepted writes the accepted files byte for byte, and the base.
func writeAccepted(dir string, reply *controlpb.ShowReply) error {
	if err := writeFiles(dir, reply.GetFiles()); err != nil {
		return err
	}
	b := &base{Version: reply.GetVersion(), Sums: map[string]string{}}
	for _, f := range reply.GetFiles() {
		b.Sums[f.GetName()] = sum(f.GetData())
	}
	return b.write(dir)
}

// writeFiles writes files byte for byte into a new folder.
func writeFiles(dir string, files []*controlpb.File) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.WithStack(err)
	}
	present, err := os.ReadDir(dir)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, e := range present {
		if e.Name() != baseFile {
			return usageError(errors.Errorf("folder %s is not empty (%s): name a new folder", dir, e.Name()))
		}
	}
	for _, f := range files {
		if filepath.Base(f.GetName()) != f.GetName() {
			return errors.Errorf("file name %q leaves the folder: do not use this source", f.GetName())
		}
		if err := renameio.WriteFile(filepath.Join(dir, f.GetName()), f.GetData(), fileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
