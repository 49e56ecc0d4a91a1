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

// account is what a team used of a back end.
type account struct {
	team    string
	backend string
}

// amount is a number of requests and of tokens given to the caller.
type amount struct {
	requests int64
	tokens   int64
}

// bounds are the least and the most that may be billed.
type bounds struct {
	least amount
	most  amount
}

func (j *judge) usage() {
	billed := j.billed()
	owed := j.owed()
	accounts := maps.Clone(owed)
	for key := range billed {
		if _, known := accounts[key]; !known {
			accounts[key] = bounds{}
		}
	}
	for key, limits := range accounts {
		if key.team == "" {
			// Calls of routes that are open to all have nobody to bill.
			continue
		}
		got := billed[key]
		if problem := limits.check(got); problem != "" {
			j.violated(&j.report.Violations.UsageMismatches, "UsageMismatches", "team %q, back end %s: %s%s", key.team, key.backend, problem, j.beforeExits(key))
		}
	}
}

// hintSpan is how long before a daemon's end its calls are named beside a bill
// that is too small.
const hintSpan = 8 * clock.Second

// beforeExits names the calls of an account that ended shortly before their
// daemon did.
func (j *judge) beforeExits(key account) string {
	hint := ""
	for _, call := range j.in.Calls {
		if call.Team != key.team || call.Backend != key.backend || call.Outcome() != load.Completed {
			continue
		}
		for _, attempt := range call.Attempts() {
			exit, ended := j.exits[attempt.Daemon]
			if ended && attempt.Outcome == load.Completed && attempt.Ended < exit.Ended && attempt.Ended > exit.Ended-hintSpan {
				hint += fmt.Sprintf("; %s ended %s before %s", call.Nonce, exit.Ended-attempt.Ended, exit.Daemon)
			}
		}
	}
	return hint
}

func (b bounds) check(got amount) string {
	switch {
	case got.requests < b.least.requests || got.requests > b.most.requests:
		return fmt.Sprintf("billed %d requests, owed %d to %d", got.requests, b.least.requests, b.most.requests)
	case got.tokens < b.least.tokens || got.tokens > b.most.tokens:
		return fmt.Sprintf("billed %d tokens, owed %d to %d", got.tokens, b.least.tokens, b.most.tokens)
	}
	return ""
}

// billed adds up the first report of each window, and finds windows that came
// with other figures, from two reporters, or not at all.
func (j *judge) billed() map[account]amount {
	first := make(map[string]map[uint64]usage.Window)
	for _, report := range j.in.Platform.Reports {
		window := report.Window
		switch {
		case report.Conflict:
			j.violated(&j.report.Violations.UsageMismatches, "UsageMismatches", "window %s/%d came with other figures from %s at %s",
				window.Scope, window.Number, window.Reporter, j.offset(report.Received))
			continue
		case report.Overlap:
			j.violated(&j.report.Violations.UsageMismatches, "UsageMismatches", "window %s/%d came from %s at %s after a report of its successor",
				window.Scope, window.Number, report.Sender, j.offset(report.Received))
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
		j.gaps(scope, windows)
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
	j.report.Windows = len(j.in.Platform.Reports)
	return result
}

func (j *judge) gaps(scope string, windows map[uint64]usage.Window) {
	numbers := slices.Sorted(maps.Keys(windows))
	for i, number := range numbers {
		if number != uint64(i)+1 {
			j.violated(&j.report.Violations.UsageMismatches, "UsageMismatches", "windows of %s are missing before number %d", scope, number)
			return
		}
	}
}

// crashExposure is how long before a daemon's sudden end an answer may have
// been given that no other daemon knows of yet.
const crashExposure = clock.Second

// owed works out what may be billed. An answer that a caller got whole is
// billed in full; one that was given up, cut or refused at most for what was
// produced.
func (j *judge) owed() map[account]bounds {
	result := make(map[account]bounds)
	for _, call := range j.in.Calls {
		key := account{team: call.Team, backend: call.Backend}
		began := j.began(call.Nonce)
		if len(began) == 0 {
			continue
		}
		sum := result[key]
		sum.most.requests++
		produced := int64(0)
		for _, run := range began {
			produced = max(produced, int64(run.FirstToken+run.Tokens))
		}
		if call.Type == entity.Model {
			sum.most.tokens += produced
		}
		if call.Outcome() == load.Completed && !j.exposed(call) {
			sum.least.requests++
			if call.Type == entity.Model {
				sum.least.tokens += int64(call.OutputTokens)
			}
		}
		result[key] = sum
	}
	return result
}

// exposed says that the call ended just before its daemon was killed.
func (j *judge) exposed(call *load.Call) bool {
	for _, attempt := range call.Attempts() {
		exit, ended := j.exits[attempt.Daemon]
		if ended && exit.Killed && attempt.Ended > exit.StopRequested-crashExposure {
			j.report.ExposedAtCrash++
			return true
		}
	}
	return false
}
