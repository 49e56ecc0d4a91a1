package verdict

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

func (j *judge) isolation() {
	for _, call := range j.in.Calls {
		if !call.Forbidden {
			continue
		}
		for _, run := range j.began(call.Nonce) {
			j.violated(&j.report.Violations.TeamIsolation, "TeamIsolation",
				"%s of team %q on route %s ran on %s", call.Nonce, call.Team, call.Route, run.endpoint.ID)
		}
	}
}

func (j *judge) keyLeaks() {
	for _, h := range j.in.Hosts {
		for range h.KeyLeaks {
			j.violated(&j.report.Violations.KeyLeaks, "KeyLeaks", "an endpoint's connection carried key material")
		}
	}
	for range j.in.Platform.KeyLeaks {
		j.violated(&j.report.Violations.KeyLeaks, "KeyLeaks", "a connection to the platform carried key material")
	}
}

func (j *judge) answers() {
	for _, call := range j.in.Calls {
		for _, attempt := range call.Attempts() {
			if attempt.Outcome != load.Wrong && attempt.Outcome != load.Truncated {
				continue
			}
			j.violated(&j.report.Violations.WholeAnswers, "WholeAnswers", "%s (%s, request %s by %s at %s): %s: %s",
				call.Nonce, call.Flow, attempt.RequestID, attempt.Daemon, j.offset(attempt.Ended), attempt.Outcome, attempt.Detail)
		}
	}
}

// refusals finds calls that were refused as not run in every attempt, and ran.
func (j *judge) refusals() {
	for _, call := range j.in.Calls {
		attempts := call.Attempts()
		if len(attempts) == 0 || !allNotRun(attempts) {
			continue
		}
		for _, run := range j.began(call.Nonce) {
			last := attempts[len(attempts)-1]
			j.violated(&j.report.Violations.TrueRefusals, "TrueRefusals", "%s (%s, request %s) was refused with %s at %s and ran on %s at %s",
				call.Nonce, call.Flow, last.RequestID, last.Code, j.offset(last.Ended), run.endpoint.ID, j.offset(run.Started))
		}
	}
}

func allNotRun(attempts []load.Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Outcome != load.NotRun && attempt.Outcome != load.NotSent {
			return false
		}
	}
	return true
}

// duplicates finds calls that may run once and ran more often. A resumed
// stream is the same run going on.
func (j *judge) duplicates() {
	for _, call := range j.in.Calls {
		if call.Repeatable {
			continue
		}
		fresh := 0
		for _, run := range j.began(call.Nonce) {
			if run.FirstToken == 0 {
				fresh++
			}
		}
		for range max(0, fresh-1) {
			j.violated(&j.report.Violations.DuplicateRuns, "DuplicateRuns", "%s (%s %s) ran %d times", call.Nonce, call.Flow, call.Method, fresh)
		}
	}
}

// leaving finds work that came to an endpoint long after it was told to leave.
func (j *judge) leaving() {
	for _, h := range j.in.Hosts {
		for i := range h.Endpoints {
			endpoint := &h.Endpoints[i]
			if endpoint.LeavingSince == 0 {
				continue
			}
			for _, run := range endpoint.Runs {
				if late := run.Received - endpoint.LeavingSince; late > leavingLimit {
					j.violated(&j.report.Violations.LeavingWork, "LeavingWork", "%s (request %s) came to %s %s after it was told to leave (at %s)",
						run.Nonce, run.RequestID, endpoint.ID, late, j.offset(endpoint.LeavingSince))
				}
			}
		}
	}
}

// shutdowns finds calls that were cut by a daemon that ended gracefully.
func (j *judge) shutdowns() {
	for _, call := range j.in.Calls {
		for _, attempt := range call.Attempts() {
			exit, ended := j.exits[attempt.Daemon]
			if !ended || exit.Killed || attempt.Ended < exit.StopRequested || attempt.Sent > exit.Ended {
				continue
			}
			cut := attempt.ConnectionBroken && attempt.Outcome == load.Unknown
			if cut || attempt.Outcome == load.Unknown && attempt.Code == "shutting_down" {
				j.violated(&j.report.Violations.GracefulCuts, "GracefulCuts", "%s (%s), sent %s and cut %s after %s was told to end: %s",
					call.Nonce, call.Flow, attempt.Sent-exit.StopRequested, attempt.Ended-exit.StopRequested, attempt.Daemon, attempt.Detail)
			}
		}
	}
}

// withdrawals finds work for keys that were withdrawn long before.
func (j *judge) withdrawals() {
	last := make(map[string]clock.Millis)
	for _, call := range j.in.Calls {
		withdrawal, withdrawn := j.withdraw[call.KeyID]
		if !withdrawn {
			continue
		}
		for _, run := range j.began(call.Nonce) {
			last[call.KeyID] = max(last[call.KeyID], run.Started)
			if late := run.Started - withdrawal.Accepted; late > withdrawalLimit {
				j.violated(&j.report.Violations.WithdrawnKeys, "WithdrawnKeys", "%s (%s) ran on %s %s after the withdrawal of key %s (at %s)",
					call.Nonce, call.Flow, run.endpoint.ID, late, call.KeyID, j.offset(withdrawal.Accepted))
			}
		}
		j.openStreams(call, withdrawal)
	}
	for _, withdrawal := range j.in.Withdrawals {
		at := last[withdrawal.KeyID]
		j.report.withdrawalTimes = append(j.report.withdrawalTimes, max(0, at-withdrawal.Accepted))
		j.report.withdrawalAskedTimes = append(j.report.withdrawalAskedTimes, max(0, at-withdrawal.Requested))
	}
}

// openStreams finds streams that brought tokens long after their key was
// withdrawn. Calls that may not be repeated run to their end.
func (j *judge) openStreams(call *load.Call, withdrawal Withdrawal) {
	if !call.Repeatable {
		return
	}
	for _, attempt := range call.Attempts() {
		late := attempt.LastTokenAt - withdrawal.Accepted
		if attempt.Tokens > 0 && late > withdrawalLimit {
			j.violated(&j.report.Violations.WithdrawnKeys, "WithdrawnKeys", "the stream of %s by %s brought tokens %s after the withdrawal of its key",
				call.Nonce, attempt.Daemon, late)
		}
	}
}

// configuration finds daemons without an accepted change, and such that went
// back to an earlier one.
func (j *judge) configuration() {
	j.races()
	newest := make(map[string]int)
	seen := make(map[string]map[int]bool)
	for _, probe := range j.in.ConfigProbes {
		if due := j.due(probe.Sent); probe.Version < due {
			j.violated(&j.report.Violations.Configuration, "Configuration", "%s had version %d in force at %s, %d was accepted %s before",
				probe.Daemon, probe.Version, j.offset(probe.Sent), due, probe.Sent-j.accepted(due))
		}
		if probe.Version < newest[probe.Daemon] {
			j.violated(&j.report.Violations.Configuration, "Configuration", "%s went back from version %d to %d at %s",
				probe.Daemon, newest[probe.Daemon], probe.Version, j.offset(probe.Sent))
		}
		newest[probe.Daemon] = max(newest[probe.Daemon], probe.Version)
		if seen[probe.Daemon] == nil {
			seen[probe.Daemon] = make(map[int]bool)
		}
		if probe.Version > 0 && !seen[probe.Daemon][probe.Version] {
			seen[probe.Daemon][probe.Version] = true
			late := max(0, probe.Sent-j.accepted(probe.Version))
			j.report.configurationTimes = append(j.report.configurationTimes, late)
		}
	}
}

// races finds changes of which two were accepted, or none is in force.
func (j *judge) races() {
	for _, race := range j.in.Races {
		if race.Accepted > 1 {
			j.violated(&j.report.Violations.Configuration, "Configuration", "%s was created by %d operators at the same time", race.Entity, race.Accepted)
		}
		for _, daemon := range race.DivergentDaemons {
			j.violated(&j.report.Violations.Configuration, "Configuration", "%s does not have the accepted value of %s in force", daemon, race.Entity)
		}
	}
}

// due returns the newest version that must be in force at an instant.
func (j *judge) due(at clock.Millis) int {
	due := 0
	for _, change := range j.in.ConfigChanges {
		if at-change.Accepted > configurationLimit {
			due = max(due, change.Version)
		}
	}
	return due
}

func (j *judge) accepted(version int) clock.Millis {
	for _, change := range j.in.ConfigChanges {
		if change.Version == version {
			return change.Accepted
		}
	}
	return 0
}

func (j *judge) orders() {
	all := j.in.Platform.Orders
	for _, h := range j.in.Hosts {
		for _, endpoint := range h.Endpoints {
			all = append(all, endpoint.Orders...)
		}
	}
	for _, given := range all {
		if given.Overlap {
			j.violated(&j.report.Violations.OverlappingOrders, "OverlappingOrders", "order %s (%s) of %s under fence %d came at %s, after one of its successor",
				given.ID, given.Kind, given.Holder, given.Fence, j.offset(given.Received))
		}
	}
	j.report.Orders = len(all)
}
