package verdict

import (
	"fmt"
	"maps"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// account identifies a team's usage of a back end.
type account struct {
	team    string
	backend string
}

// amount is a number of requests and of tokens given to the caller.
type amount struct {
	requests int64
	tokens   int64
}

// bounds are the minimum and maximum that may be billed to an account.
type bounds struct {
	min amount
	max amount
}

func (e *evaluation) checkUsage() {
	billed := e.billedAmounts()
	owed := e.owedBounds()
	accounts := maps.Clone(owed)
	for key := range billed {
		if _, known := accounts[key]; !known {
			accounts[key] = bounds{}
		}
	}
	for key, limits := range accounts {
		if key.team == "" {
			// Calls of routes that are open to all are not billed to a team.
			continue
		}
		got := billed[key]
		if problem := limits.check(got); problem != "" {
			e.addViolation(&e.report.Violations.UsageMismatches, "UsageMismatches", "team %q, back end %s: %s%s", key.team, key.backend, problem, e.callsBeforeExits(key))
		}
	}
}

// exitHintSpan is how long before a daemon's exit its calls are listed with a
// mismatch, as candidates for the missing usage.
const exitHintSpan = 8 * clock.Second

// callsBeforeExits lists the calls of an account that ended less than
// exitHintSpan before the exit of their daemon.
func (e *evaluation) callsBeforeExits(key account) string {
	hint := ""
	for _, call := range e.in.Calls {
		if call.Team != key.team || call.Backend != key.backend || call.Outcome() != load.Completed {
			continue
		}
		for _, attempt := range call.Attempts() {
			exit, ended := e.exitByDaemon[attempt.Daemon]
			if ended && attempt.Outcome == load.Completed && attempt.Ended < exit.Ended && attempt.Ended > exit.Ended-exitHintSpan {
				hint += fmt.Sprintf("; %s ended %s before %s", call.Nonce, exit.Ended-attempt.Ended, exit.Daemon)
			}
		}
	}
	return hint
}

func (b bounds) check(got amount) string {
	switch {
	case got.requests < b.min.requests || got.requests > b.max.requests:
		return fmt.Sprintf("billed %d requests, owed %d to %d", got.requests, b.min.requests, b.max.requests)
	case got.tokens < b.min.tokens || got.tokens > b.max.tokens:
		return fmt.Sprintf("billed %d tokens, owed %d to %d", got.tokens, b.min.tokens, b.max.tokens)
	}
	return ""
}

// billedAmounts adds up the first report of each window by account. It finds
// windows that were reported with other figures, after their successor, or not
// at all.
func (e *evaluation) billedAmounts() map[account]amount {
	first := make(map[string]map[uint64]usage.Window)
	for _, report := range e.in.Platform.Reports {
		window := report.Window
		switch {
		case report.Conflict:
			e.addViolation(&e.report.Violations.UsageMismatches, "UsageMismatches", "window %s/%d came with other figures from %s at %s",
				window.Scope, window.Number, window.Reporter, e.sinceStart(report.Received))
			continue
		case report.Overlap:
			e.addViolation(&e.report.Violations.UsageMismatches, "UsageMismatches", "window %s/%d came from %s at %s after a report of its successor",
				window.Scope, window.Number, report.Sender, e.sinceStart(report.Received))
		}
		if first[window.Scope] == nil {
			first[window.Scope] = make(map[uint64]usage.Window)
		}
		if _, known := first[window.Scope][window.Number]; !known {
			first[window.Scope][window.Number] = window
		}
	}
	result := make(map[account]amount)
	for scope, windows := range first {
		e.checkMissingWindows(scope, windows)
		for _, window := range windows {
			for _, line := range window.Lines {
				key := account{team: line.Team, backend: line.Backend}
				sum := result[key]
				sum.requests += line.Requests
				sum.tokens += line.OutputTokens
				result[key] = sum
			}
		}
	}
	e.report.Windows = len(e.in.Platform.Reports)
	return result
}

func (e *evaluation) checkMissingWindows(scope string, windows map[uint64]usage.Window) {
	numbers := slices.Sorted(maps.Keys(windows))
	for i, number := range numbers {
		if number != uint64(i)+1 {
			e.addViolation(&e.report.Violations.UsageMismatches, "UsageMismatches", "windows of %s are missing before number %d", scope, number)
			return
		}
	}
}

// crashExposure is how long before its crash a daemon may have given an answer
// that no other daemon knows of yet, so that it may be missing from usage.
const crashExposure = clock.Second

// owedBounds computes what may be billed. A complete answer is billed in full;
// one that was abandoned, cut off or refused is billed for at most the tokens
// that were produced.
func (e *evaluation) owedBounds() map[account]bounds {
	result := make(map[account]bounds)
	for _, call := range e.in.Calls {
		key := account{team: call.Team, backend: call.Backend}
		started := e.startedRuns(call.Nonce)
		if len(started) == 0 {
			continue
		}
		sum := result[key]
		sum.max.requests++
		produced := int64(0)
		for _, run := range started {
			produced = max(produced, int64(run.FirstToken+run.Tokens))
		}
		if call.Type == entity.Model {
			sum.max.tokens += produced
		}
		if call.Outcome() == load.Completed && !e.exposedAtCrash(call) {
			sum.min.requests++
			if call.Type == entity.Model {
				sum.min.tokens += int64(call.OutputTokens)
			}
		}
		result[key] = sum
	}
	return result
}

// exposedAtCrash reports whether the call ended within crashExposure before its
// daemon was killed, or later.
func (e *evaluation) exposedAtCrash(call *load.Call) bool {
	for _, attempt := range call.Attempts() {
		exit, ended := e.exitByDaemon[attempt.Daemon]
		if ended && exit.Killed && attempt.Ended > exit.StopRequested-crashExposure {
			e.report.ExposedAtCrash++
			return true
		}
	}
	return false
}
