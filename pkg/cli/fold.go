package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rosemarygate/pkg/config"
	"rosemarygate/pkg/control/state"
)

func newConfigFold() *cobra.Command {
	return &cobra.Command{
		Use:   "fold DIR NEW_DIR",
		Short: "Write a folder in which each service has one file",
		Long: "Fold writes the files of DIR to NEW_DIR and makes one file of the files that name one service\n" +
			"only, under the name of the last of them. Files that also name other services, users' settings\n" +
			"or token keys stay as they are, and only later files of their services are folded. Comments in\n" +
			"folded files are lost. Other files, such as notes, are not copied.\n\n" +
			"The merged values of both folders are compared before NEW_DIR appears, and DIR is not changed.\n" +
			"\"config push NEW_DIR\" also removes the files that were folded. One fold changes no more than one\n" +
			"push can hold; fold again after the push when the output says so.\n\n" +
			"Exit codes: 0 success, 1 NEW_DIR could not be written, 2 wrong arguments or an invalid folder.",
		Example: `  rosemarygate config fold ./config ./config-folded
  rosemarygate config push --replica 127.1.0.1:7901 --summary "fold" ./config-folded`,
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeFolders(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return foldFolder(cmd.OutOrStdout(), args[0], args[1])
		},
	}
}

func foldFolder(out io.Writer, dir, newDir string) error {
	if _, err := os.Lstat(newDir); !errors.Is(err, os.ErrNotExist) {
		return usageError(errors.Errorf("%s exists: name a new folder", newDir))
	}
	folder, err := config.Load(dir)
	if err != nil {
		return usageError(addFolderTitle(dir, err))
	}
	folderBase, err := readBase(dir)
	if err != nil {
		return usageError(err)
	}
	folded, err := folder.Fold(state.MaxPushBytes)
	if err != nil {
		return usageError(addFolderTitle(dir, err))
	}
	folderBase.recordFolded(folded.RemovedFiles)
	if err := writeFolded(newDir, folded.Folder, folderBase); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d files of %d services became %d; %d files in all, merged values equal\n",
		newDir, len(folded.RemovedFiles)+folded.FoldedServices, folded.FoldedServices, folded.FoldedServices, len(folded.Folder.Files()))
	if folded.ServicesLeft {
		fmt.Fprintln(out, "one push can hold no more changes: push this folder, then fold it again")
	}
	return nil
}

// recordFolded records the folded files, which the next push removes. Files that were never accepted
// need no removal.
func (b *base) recordFolded(removedNames []string) {
	for _, name := range removedNames {
		if b.FileSums[name] != "" {
			b.FoldedFiles = append(b.FoldedFiles, name)
		}
	}
}

// writeFolded writes a new folder. It is written under a temporary name and renamed when it is complete.
func writeFolded(dir string, folder *config.Folder, folderBase *base) error {
	tempDir, err := os.MkdirTemp(filepath.Dir(filepath.Clean(dir)), ".fold-")
	if err != nil {
		return errors.Wrap(err, "new folder cannot be written: check that its parent folder exists and has room")
	}
	defer os.RemoveAll(tempDir)
	for _, f := range folder.Files() {
		if err := os.WriteFile(filepath.Join(tempDir, f.Name), f.Data, fileMode); err != nil {
			return errors.Wrap(err, "new folder cannot be written")
		}
	}
	if len(folderBase.FileSums) > 0 {
		if err := folderBase.save(tempDir); err != nil {
			return err
		}
	}
	if err := os.Chmod(tempDir, folderMode); err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(os.Rename(tempDir, dir), "new folder cannot be renamed to its name")
}
