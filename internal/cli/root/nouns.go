package root

import (
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/factory"
	auditlist "github.com/banyanshift/banyanshift/internal/cmdaudit/list"
	backendcreate "github.com/banyanshift/banyanshift/internal/cmdbackend/create"
	backenddelete "github.com/banyanshift/banyanshift/internal/cmdbackend/delete"
	backendedit "github.com/banyanshift/banyanshift/internal/cmdbackend/edit"
	backendlist "github.com/banyanshift/banyanshift/internal/cmdbackend/list"
	backendview "github.com/banyanshift/banyanshift/internal/cmdbackend/view"
	classcreate "github.com/banyanshift/banyanshift/internal/cmdclass/create"
	classdelete "github.com/banyanshift/banyanshift/internal/cmdclass/delete"
	classedit "github.com/banyanshift/banyanshift/internal/cmdclass/edit"
	classlist "github.com/banyanshift/banyanshift/internal/cmdclass/list"
	classview "github.com/banyanshift/banyanshift/internal/cmdclass/view"
	configapply "github.com/banyanshift/banyanshift/internal/cmdconfig/apply"
	configcheck "github.com/banyanshift/banyanshift/internal/cmdconfig/check"
	configexample "github.com/banyanshift/banyanshift/internal/cmdconfig/example"
	configexport "github.com/banyanshift/banyanshift/internal/cmdconfig/export"
	configreview "github.com/banyanshift/banyanshift/internal/cmdconfig/review"
	docsevents "github.com/banyanshift/banyanshift/internal/cmddocs/events"
	docsmetrics "github.com/banyanshift/banyanshift/internal/cmddocs/metrics"
	docssettings "github.com/banyanshift/banyanshift/internal/cmddocs/settings"
	fleetstatus "github.com/banyanshift/banyanshift/internal/cmdfleet/status"
	keycreate "github.com/banyanshift/banyanshift/internal/cmdkey/create"
	keylist "github.com/banyanshift/banyanshift/internal/cmdkey/list"
	keywithdraw "github.com/banyanshift/banyanshift/internal/cmdkey/withdraw"
	routecreate "github.com/banyanshift/banyanshift/internal/cmdroute/create"
	routedelete "github.com/banyanshift/banyanshift/internal/cmdroute/delete"
	routeedit "github.com/banyanshift/banyanshift/internal/cmdroute/edit"
	routelist "github.com/banyanshift/banyanshift/internal/cmdroute/list"
	routeview "github.com/banyanshift/banyanshift/internal/cmdroute/view"
	teamcreate "github.com/banyanshift/banyanshift/internal/cmdteam/create"
	teamdelete "github.com/banyanshift/banyanshift/internal/cmdteam/delete"
	teamedit "github.com/banyanshift/banyanshift/internal/cmdteam/edit"
	teamlist "github.com/banyanshift/banyanshift/internal/cmdteam/list"
	teamview "github.com/banyanshift/banyanshift/internal/cmdteam/view"
	usagelist "github.com/banyanshift/banyanshift/internal/cmdusage/list"
)

// newNoun returns a parent command that only groups the commands of a noun.
func newNoun(noun, short string, verbs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   noun + " <verb>",
		Short: short,
		Args:  unknownCommand,
		RunE:  showHelp,
	}
	cmd.AddCommand(verbs...)
	return cmd
}

func newTeam(f *factory.Factory) *cobra.Command {
	return newNoun("team", "Manage the teams that are served and billed",
		teamcreate.NewCmdCreate(f, nil),
		teamedit.NewCmdEdit(f, nil),
		teamlist.NewCmdList(f, nil),
		teamview.NewCmdView(f, nil),
		teamdelete.NewCmdDelete(f, nil),
	)
}

func newKey(f *factory.Factory) *cobra.Command {
	return newNoun("key", "Manage the keys of callers",
		keycreate.NewCmdCreate(f, nil),
		keylist.NewCmdList(f, nil),
		keywithdraw.NewCmdWithdraw(f, nil),
	)
}

func newClass(f *factory.Factory) *cobra.Command {
	return newNoun("class", "Manage the service levels of requests",
		classcreate.NewCmdCreate(f, nil),
		classedit.NewCmdEdit(f, nil),
		classlist.NewCmdList(f, nil),
		classview.NewCmdView(f, nil),
		classdelete.NewCmdDelete(f, nil),
	)
}

func newRoute(f *factory.Factory) *cobra.Command {
	return newNoun("route", "Manage which teams and classes reach which back end",
		routecreate.NewCmdCreate(f, nil),
		routeedit.NewCmdEdit(f, nil),
		routelist.NewCmdList(f, nil),
		routeview.NewCmdView(f, nil),
		routedelete.NewCmdDelete(f, nil),
	)
}

func newBackend(f *factory.Factory) *cobra.Command {
	return newNoun("backend", "Manage the pools of endpoints",
		backendcreate.NewCmdCreate(f, nil),
		backendedit.NewCmdEdit(f, nil),
		backendlist.NewCmdList(f, nil),
		backendview.NewCmdView(f, nil),
		backenddelete.NewCmdDelete(f, nil),
	)
}

func newConfig(f *factory.Factory) *cobra.Command {
	return newNoun("config", "Check settings, apply and export the configuration",
		configapply.NewCmdApply(f, nil),
		configexport.NewCmdExport(f, nil),
		configcheck.NewCmdCheck(f, nil),
		configreview.NewCmdReview(f, nil),
		configexample.NewCmdExample(f, nil),
	)
}

func newFleet(f *factory.Factory) *cobra.Command {
	return newNoun("fleet", "View daemons and endpoints",
		fleetstatus.NewCmdStatus(f, nil),
	)
}

func newUsage(f *factory.Factory) *cobra.Command {
	return newNoun("usage", "View billed usage",
		usagelist.NewCmdList(f, nil),
	)
}

func newAudit(f *factory.Factory) *cobra.Command {
	return newNoun("audit", "View the history of configuration changes",
		auditlist.NewCmdList(f, nil),
	)
}

// newDocs returns the hidden command that prints generated documentation pages.
func newDocs(f *factory.Factory) *cobra.Command {
	cmd := newNoun("docs", "Print documentation pages",
		docssettings.NewCmdSettings(f, nil),
		docsevents.NewCmdEvents(f, nil),
		docsmetrics.NewCmdMetrics(f, nil),
	)
	cmd.Hidden = true
	return cmd
}
