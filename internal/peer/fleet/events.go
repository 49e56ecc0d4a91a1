package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	retries = metric.NewMap("Budget.Retries", "Retries granted or refused by the retry budget, by back end.")

	endpointStandings = metric.NewMap("Endpoint.Standings", "Endpoints by whether they may get requests: available, or why not.")
	unplacedRequests  = metric.NewMap("Endpoint.Unplaced", "Requests that no endpoint of a back end could get though the table lists ready ones, by back end.")
	slowEndpoints     = metric.NewMap("Endpoint.Slow", "Endpoints on which work takes at least one and a half times as long as on the mean of their back end, with the ratio in percent.")

	delays = metric.NewHistograms("Process.Delays", "Delays of at least 150 ms, in ms, with which a goroutine of this process ran, since the process stood still or lacked processor time.")
)

var (
	eventDelayed = event.New(1417, logrus.InfoLevel, "process was delayed",
		"A goroutine ran Delay ms later than it was to. Whatever this process did in that time was late as well.")
	eventEndpointLeaves = event.New(1212, logrus.InfoLevel, "endpoint says that it leaves",
		"An endpoint said in an answer, to this daemon or to a peer, that it is about to end. It gets no new requests until its next incarnation, whatever its entry says.")
	eventEndpointQuiet = event.New(1213, logrus.InfoLevel, "endpoint wants no requests",
		"An endpoint refused a request and asked for no others from this daemon for the stated time.")
	eventAddressReassigned = event.New(1224, logrus.WarnLevel, "address belongs to another endpoint",
		"An answer from the address of an endpoint shows that another endpoint is there. It gets no requests for the stated time, unless its entry or the report from the address says otherwise; then requests find out whether it is still so. Each further time is twice as long.")
	eventAddressConfirmed = event.New(1225, logrus.InfoLevel, "endpoint has its address",
		"The report from the address of an endpoint, or its entry, shows that no other endpoint is there. It gets requests again.")
	eventUnplaced = event.New(1226, logrus.WarnLevel, "no endpoint may get requests though some are ready",
		"The table lists ready endpoints of a back end, and this daemon takes none of them for usable, for the reasons that Standings counts. Requests are refused. The entry is repeated while that lasts.")
	eventPeerJoined = event.New(1410, logrus.InfoLevel, "peer joined",
		"Another daemon, to which this one is to stay in contact, has answered for the first time.")
	eventPeerLost = event.New(1411, logrus.WarnLevel, "peer does not answer",
		"A daemon did not answer several pings in a row. If this daemon followed it, it follows the next one now.")
	eventPeerRegained = event.New(1412, logrus.InfoLevel, "peer answers again",
		"A daemon that had stopped answering pings answers again.")
	eventPeerForgotten = event.New(1413, logrus.InfoLevel, "peer forgotten",
		"A daemon has not answered for 20 s and is assumed to be gone. Its row in the table is deleted by the root of its failure domain.")
	eventVersionFetched = event.New(1520, logrus.InfoLevel, "configuration taken from a peer",
		"A peer had a newer version of the configuration than this daemon.")
	eventDrainsFetched = event.New(1523, logrus.InfoLevel, "drains taken from a peer",
		"A peer knew of a change of the drained failure domains, whose endpoints get no new requests.")
	eventFetchFailed = event.New(1521, logrus.WarnLevel, "fetching from a peer failed",
		"A newer configuration or list of endpoints, or the usage of a peer, could not be fetched. The next ping or collection tries again.")
	eventListFetched = event.New(1522, logrus.InfoLevel, "endpoints taken from a peer",
		"A peer had a newer list of endpoints than this daemon, or this one could not read the store.")
	eventPeerLacks = event.New(1416, logrus.InfoLevel, "peer lacks a feature",
		"A peer is of an older release, which does not have the named feature. This daemon uses it with the others only; see docs/design/upgrades.md for what follows.")
	eventVersionsKept = event.New(1418, logrus.InfoLevel, "software versions written to the table",
		"The software versions at which streams of callers may have begun, by back end. After the end of all daemons, a stream is taken up only if its back end has one.")
	eventVersionsNotKept = event.New(1419, logrus.WarnLevel, "software versions not read or written",
		"The row of the software versions could not be read or written. The daemon tries again; until then, streams that were begun before it started are taken up only if another daemon knows them.")
	eventTimeCorrected = event.New(1415, logrus.WarnLevel, "time of day corrected",
		"The clock of the VM was off when the daemon started. Usage is counted by the time of the other daemons.")
	eventRegisterFailed = event.New(1414, logrus.WarnLevel, "registering in the table failed",
		"Other daemons may not find this one through the table yet. The daemon tries again.")
)
