package verdict

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

func (e *evaluation) checkTeamIsolation() {
	for _, call := range e.in.Calls {
		if !call.Forbidden {
			continue
		}
		for _, run := range e.startedRuns(call.Nonce) {
			e.addViolation(&e.report.Violations.TeamIsolation, "TeamIsolation",
				"%s of team %q on route %s ran on %s", call.Nonce, call.Team, call.Route, run.endpoint.ID)
		}
	}
}

func (e *evaluation) checkKeyLeaks() {
	for _, h := range e.in.Hosts {
		for range h.KeyLeaks {
			e.addViolation(&e.report.Violations.KeyLeaks, "KeyLeaks", "an endpoint's connection carried key material")
		}
	}
	for range e.in.Platform.KeyLeaks {
		e.addViolation(&e.report.Violations.KeyLeaks, "KeyLeaks", "a connection to the platform carried key material")
	}
}

func (e *evaluation) checkAnswers() {
	for _, call := range e.in.Calls {
		for _, attempt := range call.Attempts() {
			if attempt.Outcome != load.Wrong && attempt.Outcome != load.Truncated {
				continue
			}
			e.addViolation(&e.report.Violations.WholeAnswers, "WholeAnswers", "%s (%s, request %s by %s at %s): %s: %s",
				call.Nonce, call.Flow, attempt.RequestID, attempt.Daemon, e.sinceStart(attempt.Ended), attempt.Outcome, attempt.Detail)
		}
	}
}

// checkRefusals finds calls that ran although every attempt was refused as not
// run.
func (e *evaluation) checkRefusals() {
	for _, call := range e.in.Calls {
		attempts := call.Attempts()
		if len(attempts) == 0 || !allNotRun(attempts) {
			continue
		}
		for _, run := range e.startedRuns(call.Nonce) {
			last := attempts[len(attempts)-1]
			e.addViolation(&e.report.Violations.TrueRefusals, "TrueRefusals", "%s (%s, request %s) was refused with %s at %s and ran on %s at %s",
				call.Nonce, call.Flow, last.RequestID, last.Code, e.sinceStart(last.Ended), run.endpoint.ID, e.sinceStart(run.Started))
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

// checkDuplicateRuns finds calls that may run only once and ran more often. A
// resumed stream counts as the same run.
func (e *evaluation) checkDuplicateRuns() {
	for _, call := range e.in.Calls {
		if call.Repeatable {
			continue
		}
		fullRuns := 0
		for _, run := range e.startedRuns(call.Nonce) {
			if run.FirstToken == 0 {
				fullRuns++
			}
		}
		for range max(0, fullRuns-1) {
			e.addViolation(&e.report.Violations.DuplicateRuns, "DuplicateRuns", "%s (%s %s) ran %d times", call.Nonce, call.Flow, call.Method, fullRuns)
		}
	}
}

// checkLeavingEndpoints finds work that reached an endpoint more than
// leavingLimit after it was told to leave.
func (e *evaluation) checkLeavingEndpoints() {
	for _, h := range e.in.Hosts {
		for i := range h.Endpoints {
			endpoint := &h.Endpoints[i]
			if endpoint.LeavingSince == 0 {
				continue
			}
			for _, run := range endpoint.Runs {
				if late := run.Received - endpoint.LeavingSince; late > leavingLimit {
					e.addViolation(&e.report.Violations.LeavingWork, "LeavingWork", "%s (request %s) came to %s %s after it was told to leave (at %s)",
						run.Nonce, run.RequestID, endpoint.ID, late, e.sinceStart(endpoint.LeavingSince))
				}
			}
		}
	}
}

// checkShutdowns finds calls that a graceful shutdown of a daemon cut off.
func (e *evaluation) checkShutdowns() {
	for _, call := range e.in.Calls {
		for _, attempt := range call.Attempts() {
			exit, ended := e.exitByDaemon[attempt.Daemon]
			if !ended || exit.Killed || attempt.Ended < exit.StopRequested || attempt.Sent > exit.Ended {
				continue
			}
			cut := attempt.ConnectionBroken && attempt.Outcome == load.Unknown
			if cut || attempt.Outcome == load.Unknown && attempt.Code == "shutting_down" {
				e.addViolation(&e.report.Violations.GracefulCuts, "GracefulCuts", "%s (%s), sent %s and cut %s after %s was told to end: %s",
					call.Nonce, call.Flow, attempt.Sent-exit.StopRequested, attempt.Ended-exit.StopRequested, attempt.Daemon, attempt.Detail)
			}
		}
	}
}

// checkWithdrawals finds runs that started more than withdrawalLimit after the
// withdrawal of their key.
func (e *evaluation) checkWithdrawals() {
	last := make(map[string]clock.Millis)
	for _, call := range e.in.Calls {
		withdrawal, withdrawn := e.withdrawalByKey[call.KeyID]
		if !withdrawn {
			continue
		}
		for _, run := range e.startedRuns(call.Nonce) {
			last[call.KeyID] = max(last[call.KeyID], run.Started)
			if late := run.Started - withdrawal.Accepted; late > withdrawalLimit {
				e.addViolation(&e.report.Violations.WithdrawnKeys, "WithdrawnKeys", "%s (%s) ran on %s %s after the withdrawal of key %s (at %s)",
					call.Nonce, call.Flow, run.endpoint.ID, late, call.KeyID, e.sinceStart(withdrawal.Accepted))
			}
		}
		e.checkOpenStreams(call, withdrawal)
	}
	for _, withdrawal := range e.in.Withdrawals {
		at := last[withdrawal.KeyID]
		e.report.withdrawalTimes = append(e.report.withdrawalTimes, max(0, at-withdrawal.Accepted))
		e.report.withdrawalRequestTimes = append(e.report.withdrawalRequestTimes, max(0, at-withdrawal.Requested))
	}
}

// checkOpenStreams finds streams that returned tokens more than withdrawalLimit
// after the withdrawal of their key. Calls that may not be repeated are exempt,
// as they run to completion.
func (e *evaluation) checkOpenStreams(call *load.Call, withdrawal Withdrawal) {
	if !call.Repeatable {
		return
	}
	for _, attempt := range call.Attempts() {
		late := attempt.LastTokenAt - withdrawal.Accepted
		if attempt.Tokens > 0 && late > withdrawalLimit {
			e.addViolation(&e.report.Violations.WithdrawnKeys, "WithdrawnKeys", "the stream of %s by %s brought tokens %s after the withdrawal of its key",
				call.Nonce, attempt.Daemon, late)
		}
	}
}

// checkConfiguration finds daemons that lack an accepted change after
// configurationLimit, and daemons that reverted to an earlier one.
func (e *evaluation) checkConfiguration() {
	e.checkRaces()
	newest := make(map[string]int)
	seen := make(map[string]map[int]bool)
	for _, probe := range e.in.ConfigProbes {
		if due := e.requiredVersion(probe.Sent); probe.Version < due {
			e.addViolation(&e.report.Violations.Configuration, "Configuration", "%s had version %d in force at %s, %d was accepted %s before",
				probe.Daemon, probe.Version, e.sinceStart(probe.Sent), due, probe.Sent-e.acceptedAt(due))
		}
		if probe.Version < newest[probe.Daemon] {
			e.addViolation(&e.report.Violations.Configuration, "Configuration", "%s went back from version %d to %d at %s",
				probe.Daemon, newest[probe.Daemon], probe.Version, e.sinceStart(probe.Sent))
		}
		newest[probe.Daemon] = max(newest[probe.Daemon], probe.Version)
		if seen[probe.Daemon] == nil {
			seen[probe.Daemon] = make(map[int]bool)
		}
		if probe.Version > 0 && !seen[probe.Daemon][probe.Version] {
			seen[probe.Daemon][probe.Version] = true
			late := max(0, probe.Sent-e.acceptedAt(probe.Version))
			e.report.configurationTimes = append(e.report.configurationTimes, late)
		}
	}
}

// checkRaces finds entities that several operators created at once, or whose
// accepted value is not in force everywhere.
func (e *evaluation) checkRaces() {
	for _, race := range e.in.Races {
		if race.Accepted > 1 {
			e.addViolation(&e.report.Violations.Configuration, "Configuration", "%s was created by %d operators at the same time", race.Entity, race.Accepted)
		}
		for _, daemon := range race.DivergentDaemons {
			e.addViolation(&e.report.Violations.Configuration, "Configuration", "%s does not have the accepted value of %s in force", daemon, race.Entity)
		}
	}
}

// requiredVersion returns the newest version that must be in force everywhere
// at an instant.
func (e *evaluation) requiredVersion(at clock.Millis) int {
	due := 0
	for _, change := range e.in.ConfigChanges {
		if at-change.Accepted > configurationLimit {
			due = max(due, change.Version)
		}
	}
	return due
}

func (e *evaluation) acceptedAt(version int) clock.Millis {
	for _, change := range e.in.ConfigChanges {
		if change.Version == version {
			return change.Accepted
		}
	}
	return 0
}

func (e *evaluation) checkOrders() {
	all := e.in.Platform.Orders
	for _, h := range e.in.Hosts {
		for _, endpoint := range h.Endpoints {
			all = append(all, endpoint.Orders...)
		}
	}
	for _, order := range all {
		if order.Overlap {
			e.addViolation(&e.report.Violations.OverlappingOrders, "OverlappingOrders", "order %s (%s) of %s under fence %d came at %s, after one of its successor",
				order.ID, order.Kind, order.Holder, order.Fence, e.sinceStart(order.Received))
		}
	}
	e.report.Orders = len(all)
}
