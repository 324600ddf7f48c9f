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
	// baseFile is the file in which a folder records its base. Its name begins with a dot, so that it
	// is not read as a configuration file.
	baseFile   = ".accepted-version"
	folderMode = 0o755
	fileMode   = 0o600 // configuration files hold credentials
)

// base describes the accepted version that the operator's folder was last equal to.
type base struct {
	Version  uint64            `yaml:"version"`
	FileSums map[string]string `yaml:"sha256"` // hexadecimal, by file name
	// FoldedFiles are the files whose values were merged into another file; the next push removes them.
	FoldedFiles []string `yaml:"folded,omitempty"`
}

func hexSHA256(data []byte) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}

// readBase returns the base of a folder. It is empty if the folder has never been equal to an accepted
// version.
func readBase(dir string) (*base, error) {
	b := &base{FileSums: map[string]string{}}
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return b, nil
	}
	if err == nil {
		err = yaml.Unmarshal(data, b)
	}
	return b, errors.Wrapf(err, "%s cannot be read: fetch the folder again with \"config show --accepted --out\"", baseFile)
}

func (b *base) save(dir string) error {
	data, err := yaml.Marshal(b)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(renameio.WriteFile(filepath.Join(dir, baseFile), data, fileMode))
}

// fileChanges returns the files that differ from the base, and the files to remove.
func (b *base) fileChanges(files []config.File, removedNames []string) []*controlpb.FileChange {
	var changes []*controlpb.FileChange
	presentNames := make(map[string]bool, len(files))
	for _, f := range files {
		presentNames[f.Name] = true
		if b.FileSums[f.Name] != hexSHA256(f.Data) {
			changes = append(changes, &controlpb.FileChange{Name: f.Name, Data: f.Data})
		}
	}
	removedNames = append(slices.Clone(removedNames), slices.DeleteFunc(slices.Clone(b.FoldedFiles), func(name string) bool { return presentNames[name] })...)
	slices.Sort(removedNames)
	for _, name := range slices.Compact(removedNames) {
		changes = append(changes, &controlpb.FileChange{Name: name, Remove: true})
	}
	return changes
}

// contentChangeID derives the id of a change from its base version and its content. A command that is
// repeated after its reply was lost has the same id; a later change back to the same content has another.
func contentChangeID(push *controlpb.Push) string {
	hash := sha256.New()
	hash.Write(binary.BigEndian.AppendUint64(nil, push.GetBaseVersion()))
	for _, c := range push.GetFiles() {
		hash.Write([]byte(c.GetName() + "\x00" + hexSHA256(c.GetData()) + "\x00"))
		if c.GetRemove() {
			hash.Write([]byte("remove"))
		}
	}
	const idBytes = 12
	return "content-" + hex.EncodeToString(hash.Sum(nil)[:idBytes])
}

// writeAccepted writes the accepted files byte for byte into a new folder, together with their base.
func writeAccepted(dir string, reply *controlpb.ShowReply) error {
	if err := writeFiles(dir, reply.GetFiles()); err != nil {
		return err
	}
	b := &base{Version: reply.GetVersion(), FileSums: map[string]string{}}
	for _, f := range reply.GetFiles() {
		b.FileSums[f.GetName()] = hexSHA256(f.GetData())
	}
	return b.save(dir)
}

// writeFiles writes files byte for byte into a new folder.
func writeFiles(dir string, files []*controlpb.File) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.WithStack(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, e := range entries {
		if e.Name() != baseFile {
			return usageError(errors.Errorf("folder %s is not empty (%s): name a new folder", dir, e.Name()))
		}
	}
	for _, f := range files {
		if filepath.Base(f.GetName()) != f.GetName() {
			return errors.Errorf("file name %q points outside of the folder: do not use this source", f.GetName())
		}
		if err := renameio.WriteFile(filepath.Join(dir, f.GetName()), f.GetData(), fileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
