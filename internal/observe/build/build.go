// Package build tells which build of the program runs.
//
// # Usage
//
//	logger.WithField("Build", build.Revision()).Info("started")
package build

import "runtime/debug"

const (
	// revisionLength is the number of characters of a commit's hash that are shown.
	revisionLength = 12
	// unknown is the revision of a program that was built without version control.
	unknown = "unknown"
)

// Revision returns the commit that the program was built from, with a plus sign if the
// sources differed from it.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return revision(info.Settings)
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
