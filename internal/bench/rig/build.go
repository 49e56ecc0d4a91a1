package rig

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/samber/oops"
)

// Build builds the daemon from the module that the working directory is in
// and returns the path of the program, which is put into dir.
func Build(ctx context.Context, dir string) (path string, err error) {
	defer func() { err = oops.Wrapf(err, "build the daemon") }()
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "banyanshift")
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/banyanshift")
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("run from within the module, or name the daemon's program with --banyanshift")
		}
		dir = parent
	}
}
