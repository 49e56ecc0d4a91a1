// Package build tells which build of the program runs: by its commit or, where it was built without
// version control, by the ID that the Go linker gave it, as go tool buildid prints it.
//
// # Usage
//
//	logger.WithField("Build", build.Revision()).Info("started")
package build

import (
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
)

const (
	// revisionLength is the number of characters of a commit's hash that are shown.
	revisionLength = 12
	// unknown is the revision of a program that neither a commit nor an ID is known of.
	unknown = "unknown"
	// noteSection is the section of an executable file with the ID of the Go linker, and
	// noteHeaderBytes the length of what precedes the ID there: three lengths and a name.
	noteSection     = ".note.go.buildid"
	noteHeaderBytes = 16
)

// Revision returns the commit that the program was built from, with a plus sign if the
// sources differed from it, or the start of the ID of its content.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if ok {
		if commit := revision(info.Settings); !strings.HasPrefix(commit, unknown) {
			return commit
		}
	}
	return contentID()
}

// contentID returns the start of the last part of the linker's ID, which depends on the sources.
func contentID() string {
	path, err := os.Executable()
	if err != nil {
		return unknown
	}
	file, err := elf.Open(path)
	if err != nil {
		return unknown
	}
	defer func() { _ = file.Close() }()
	section := file.Section(noteSection)
	if section == nil {
		return unknown
	}
	note, err := section.Data()
	if err != nil || len(note) <= noteHeaderBytes {
		return unknown
	}
	id := string(note[noteHeaderBytes:])
	content := id[strings.LastIndexByte(id, '/')+1:]
	return "id " + content[:min(len(content), revisionLength)]
}

// revision returns the commit in the settings of a build.
func revision(settings []debug.BuildSetting) string {
	commit, suffix := unknown, ""
	for _, setting := range settings {
		switch setting.Key {
		case "vcs.revision":
			commit = setting.Value[:min(len(setting.Value), revisionLength)]
		case "vcs.modified":
			if setting.Value == "true" {
				suffix = "+"
			}
		}
	}
	return commit + suffix
}
