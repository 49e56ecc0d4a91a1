package mutate

// mutations lists the mutations by invariant.
var mutations = []mutation{
	{
		Invariant: "TierOrder", What: "only lower tiers are preempted",
		Edits: []edit{
			{File: "internal/decide/cell/preempt.go", Old: "n > tier; n--", New: "n >= 0; n--"},
			{File: "internal/decide/cell/preempt.go", Old: "victim == nil || c.queue.WaitingAbove(victim.request.Tier) <= c.preempting", New: "victim == nil"},
		},
		Package: "./internal/decide/replay", Test: "TestTierOrderHoldsOverRandomArrivals",
	},
	{
		Invariant: "TierOrder", What: "lower waiting work is withdrawn before a higher tier is refused",
		Edits:   []edit{{File: "internal/decide/cell/job.go", Old: "LowerTierWaiting:   c.queue.EvictionCandidateBelow(req.Tier) != nil,", New: "LowerTierWaiting:   false,"}},
		Package: "./internal/decide/cell", Test: "TestLowerWaitingWorkIsWithdrawnBeforeHigherIsRefused",
	},
	{
		Invariant: "Starvation", What: "the floor share of each class",
		Edits:   []edit{{File: "internal/decide/queue/class.go", Old: "c.share = q.config.FloorShare", New: "c.share = 0"}},
		Package: "./internal/decide/queue", Test: "TestFloorShareLetsNoClassStarve",
	},
	{
		Invariant: "TeamIsolation", What: "the route's list of teams",
		Edits:   []edit{{File: "internal/caller/entry/exchange.go", Old: "if !x.server.deps.State.Allowed(route.Name, x.Request.Team) {", New: "if false {"}},
		Package: "./internal/caller/openai", Test: "TestBadInputIsRefusedBeforeAnyEngine",
	},
	{
		Invariant: "KeyLeaks", What: "the list of headers that are passed on",
		Edits:   []edit{{File: "internal/endpoint/service/service.go", Old: "\t\"Accept\",\n", New: "\t\"Accept\",\n\t\"Authorization\",\n"}},
		Package: "./internal/endpoint/service", Test: "TestDoPassesOnlyAllowedHeaders",
	},
	{
		Invariant: "WithdrawnKeys", What: "the watch of the key of an open stream",
		Edits:   []edit{{File: "internal/caller/entry/authenticate.go", Old: "k.cancel(ErrKeyWithdrawn)", New: "_ = ErrKeyWithdrawn"}},
		Package: "./internal/caller/openai", Test: "TestWithdrawnKeyEndsOpenStream",
	},
	{
		Invariant: "WithdrawnKeys", What: "denying a key ahead of the log",
		Edits:   []edit{{File: "internal/config/follow/denial.go", Old: "\t\tf.state.Deny(key)\n", New: "\t\t_ = key\n"}},
		Package: "./internal/config/follow", Test: "TestWithdrawalHoldsThroughStoreOutage",
	},
	{
		Invariant: "OverlappingOrders", What: "the check of the lease in each write",
		Edits:   []edit{{File: "coord/guard/guard.go", Old: "if !ok || left <= 0 {", New: "if !ok && left < -1<<40 {"}},
		Package: "./coord/guard", Test: "TestWriteOnlyWhileHeld",
	},
	{
		Invariant: "OverlappingOrders", What: "the condition on the lease in the journal",
		Edits:   []edit{{File: "internal/order/journal/journal.go", Old: "txn := table.Txn{Conditions: []table.Condition{guard}}", New: "_ = guard\n\ttxn := table.Txn{}"}},
		Package: "./internal/order/dispatch", Test: "TestLateJournalEntryOfAFormerHolder",
	},
	{
		Invariant: "UsageMismatches", What: "the condition on the lease when a window is sealed",
		Edits:   []edit{{File: "coord/window/sealer.go", Old: "Conditions: []table.Condition{leaseCondition, {Key: s.stateKey(), Version: version}, {Key: row}},", New: "Conditions: []table.Condition{{Key: leaseCondition.Key, Version: leaseCondition.Version}, {Key: s.stateKey(), Version: version}, {Key: row}}[1:],"}},
		Package: "./coord/window", Test: "TestPausedHolderCannotSeal",
	},
	{
		Invariant: "WholeAnswers", What: "the check of each chunk's request id",
		Edits:   []edit{{File: "internal/endpoint/engine/chunk.go", Old: "case raw.id != v.requestID:", New: "case false:"}},
		Package: "./internal/caller/openai", Test: "TestAnswersAreWholeWhateverTheFirstEngineDoes",
	},
	{
		Invariant: "WholeAnswers", What: "the check of each token's index",
		Edits:   []edit{{File: "internal/endpoint/engine/chunk.go", Old: "case raw.hasToken && raw.token > v.nextToken:", New: "case false:"}},
		Package: "./internal/caller/openai", Test: "TestAnswersAreWholeWhateverTheFirstEngineDoes",
	},
	{
		Invariant: "TrueRefusals", What: "remembering that a request was handed over",
		Edits:   []edit{{File: "internal/caller/openai/execution.go", Old: "\tr.mayHaveRun = true\n\treturn cause(", New: "\treturn cause("}},
		Package: "./internal/caller/openai", Test: "TestRefusalsSayTrulyWhetherItRan",
	},
	{
		Invariant: "DuplicateRuns", What: "the claim of an idempotency key",
		Edits:   []edit{{File: "internal/caller/plain/call_claim.go", Old: "if c == nil || c.won != nil {\n\t\treturn nil, nil", New: "if c != nil || c == nil {\n\t\treturn nil, nil"}},
		Package: "./internal/caller/plain", Test: "TestRetriesOverDaemonsRunOnce",
	},
	{
		Invariant: "DuplicateRuns", What: "a connection of its own for each call that may run once",
		Edits:   []edit{{File: "internal/endpoint/service/service.go", Old: "client = c.clients.AtMostOnce", New: "client = c.clients.Retryable"}},
		Package: "./internal/endpoint/service", Test: "TestDoNeverSendsAnOnceCallTwice",
	},
	{
		Invariant: "LeavingWork", What: "remembering that an incarnation is leaving",
		Edits:   []edit{{File: "internal/endpoint/watch/watch.go", Old: "\tw.leaving[update.EndpointID] = update\n", New: ""}},
		Package: "./internal/endpoint/watch", Test: "TestLeavingStaysForItsIncarnation",
	},
	{
		Invariant: "LeavingWork", What: "taking a leaving endpoint out of its cell",
		Edits:   []edit{{File: "internal/decide/place/replica.go", Old: "r.leaving = departed && d.incarnation == endpoint.Incarnation", New: "r.leaving = departed && d.incarnation == \"\""}},
		Package: "./internal/decide/cell", Test: "TestLeavingEndpointGetsNothingAndIsSticky",
	},
	{
		Invariant: "GracefulCuts", What: "waiting for open requests",
		Edits:   []edit{{File: "internal/caller/entry/entry.go", Old: "err = errors.Join(s.server.Shutdown(ctx), s.server.Close())", New: "_ = ctx\n\terr = s.server.Close()"}},
		Package: "./internal/caller/entry", Test: "TestShutdownWaitsForStreams",
	},
	{
		Invariant: "Configuration", What: "refusing an older snapshot",
		Edits:   []edit{{File: "internal/config/state/snapshot.go", Old: "if snapshot.Sequence <= s.sequence {", New: "if false {"}},
		Package: "./internal/config/state", Test: "TestApplyNeverReverts",
	},
	{
		Invariant: "Configuration", What: "refusing changes with a gap",
		Edits:   []edit{{File: "internal/config/state/state.go", Old: "if change.Sequence != s.sequence+1 {", New: "if false {"}},
		Package: "./internal/config/state", Test: "TestApplyNeverReverts",
	},
}
