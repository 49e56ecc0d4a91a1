package fleet

import (
	"context"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/origin"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// originTimeout limits the search for the origin of a stream, for which a caller
	// waits.
	originTimeout = 300 * clock.Millisecond
	// maxSoleAge is the age of the list of endpoints up to which it shows whether a
	// back end has a single software version.
	maxSoleAge = 3 * clock.Second
)

// streams knows which software versions began the streams of callers. While the versions
// of a back end are mixed, each stream is told to a few other daemons, so that it can be
// taken up when the daemon that passed it on has ended.
type streams struct {
	fleet     *Fleet
	keeper    *versionKeeper
	confirmer *listConfirmer

	mu   sync.Mutex
	book *origin.Book
	// listed holds what the list said last of endpoints.
	listed map[string]listedStart

	// reading is held while the recorded versions are read for callers. It guards
	// readAgainAt, until when they are not read again.
	reading     sync.Mutex
	readAgainAt clock.Millis
}

func newStreams(f *Fleet) *streams {
	s := &streams{fleet: f, book: origin.New(), listed: make(map[string]listedStart)}
	s.keeper, s.confirmer = newVersionKeeper(s), &listConfirmer{streams: s}
	return s
}

// SetEndpoints records which endpoints there are, and their software versions.
func (f *Fleet) SetEndpoints(list []roster.Endpoint) {
	endpoints := make([]balance.Endpoint, 0, len(list))
	for _, endpoint := range list {
		endpoints = append(endpoints, endpoint.Endpoint)
	}
	f.permits.SetEndpoints(list)
	s, now := f.streams, f.config.Clock.Now()
	s.mu.Lock()
	started := s.doubtRestarted(now, endpoints)
	started = append(started, s.ownStreams(now, s.book.SetEndpoints(now, endpoints))...)
	s.mu.Unlock()
	s.tell(started)
	s.keeper.notify()
}

// ownStreams returns the streams of back ends that this daemon has begun. The lock must be
// held.
func (s *streams) ownStreams(now clock.Millis, backends []string) (started []startedStream) {
	for _, backend := range backends {
		own, ages := s.book.Own(now, backend)
		for i, stream := range own {
			started = append(started, startedStream{ID: stream.ID, SoftwareVersion: stream.SoftwareVersion, Age: ages[i]})
		}
	}
	return started
}

// RecordStream records that an endpoint has begun the stream of a caller's attempt.
func (f *Fleet) RecordStream(start relay.StreamStart) {
	s, now := f.streams, f.config.Clock.Now()
	stream := origin.Stream{
		ID: origin.ID(start.RequestID), Backend: start.Backend, SoftwareVersion: start.SoftwareVersion,
		Endpoint: start.Endpoint, OpenedAt: start.OpenedAt,
	}
	s.mu.Lock()
	if s.isOutdated(start) {
		stream.SoftwareVersion = origin.UnknownVersion
	}
	s.book.RecordOwn(now, stream)
	mixed := s.book.Mixed(now, start.Backend)
	s.mu.Unlock()
	if mixed {
		s.tell([]startedStream{{ID: stream.ID, SoftwareVersion: stream.SoftwareVersion}})
	}
}

// tell tells the keepers of streams that this daemon has begun.
func (s *streams) tell(started []startedStream) {
	if len(started) == 0 {
		return
	}
	f := s.fleet
	f.mu.Lock()
	keepers := f.view.Keepers(f.config.Clock.Now())
	f.mu.Unlock()
	f.send(keepers, message.FleetStreams, startedStreams{Items: started, PassOn: true})
}

// serveStreams remembers the streams of another daemon. The root of its failure domain
// passes them on to the next domain, in case that the whole domain is lost.
func (f *Fleet) serveStreams(_ context.Context, _ string, told startedStreams) (struct{}, error) {
	s, now := f.streams, f.config.Clock.Now()
	s.mu.Lock()
	for _, item := range told.Items {
		s.book.RecordOther(now, origin.Stream{ID: item.ID, SoftwareVersion: item.SoftwareVersion}, item.Age)
	}
	s.mu.Unlock()
	if !told.PassOn {
		return struct{}{}, nil
	}
	f.mu.Lock()
	next, found := f.view.NextRoot(now)
	f.mu.Unlock()
	if found {
		f.send([]string{next}, message.FleetStreams, startedStreams{Items: told.Items})
	}
	return struct{}{}, nil
}

// Sources of the origin of a stream.
const (
	sourceMemory  = "this daemon passed the stream on, or was told of it"
	sourceSole    = "the back end has had one software version only"
	sourcePeer    = "another daemon"
	sourceDoubted = "the endpoint that began the stream may have started again"
	sourceUnknown = "unknown"
)

// FindStream returns which software version began the stream of a caller's attempt, which
// another daemon may have passed on.
func (f *Fleet) FindStream(ctx context.Context, attempt, backend string) relay.Origin {
	s := f.streams
	id := origin.ID(attempt)
	version, source := s.find(id), sourceMemory
	if version == nil {
		version, source = s.search(ctx, id, backend)
	}
	found := s.describe(backend)
	found.Source = source
	if version != nil && *version == origin.UnknownVersion {
		found.Source = sourceDoubted
	} else if version != nil {
		found.Known, found.Software = true, balance.SoftwareLimit{Limited: true, Version: *version}
	}
	return found
}

// search asks other daemons for the software version that began a stream. If none of them
// knows, it is the only version of the back end, if a daemon that follows the store says so. An
// answer of another daemon is needed, if there are others.
func (s *streams) search(ctx context.Context, id uint64, backend string) (version *string, source string) {
	request := originRequest{ID: id, Backend: backend, AskRoots: true}
	others := &originSearch{streams: s, request: request, addresses: s.fleet.contacts(), done: make(chan struct{})}
	go others.run(ctx)
	sole := s.sole(ctx, backend)
	<-others.done
	switch sole = s.agreed(backend, sole, others.sole); {
	case others.version != nil:
		return others.version, sourcePeer
	case sole != nil && (others.heard || len(others.addresses) == 0):
		return sole, sourceSole
	}
	return nil, sourceUnknown
}

// originSearch asks other daemons for the software version that began a stream.
type originSearch struct {
	streams   *streams
	request   originRequest
	addresses []string
	// done is closed after the result is set.
	done chan struct{}
	searchResult
}

// searchResult is what other daemons know of a stream.
type searchResult struct {
	// version is the one that began it, nil if nobody knows.
	version *string
	// sole is the only version of the back end, nil if nobody says that there is one only.
	sole *string
	// heard is set if any daemon has answered.
	heard bool
}

func (o *originSearch) run(ctx context.Context) {
	defer close(o.done)
	o.searchResult = o.streams.ask(ctx, o.request, o.addresses)
}

// agreed returns the only software version of a back end if one was found, by this daemon or
// others, and neither they nor the list of this daemon name another one.
func (s *streams) agreed(backend string, found ...*string) (sole *string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.book.Recent(s.fleet.config.Clock.Now(), backend)
	for _, version := range found {
		switch {
		case version == nil:
			continue
		case sole != nil && *sole != *version, slices.ContainsFunc(recent, func(known string) bool { return known != *version }):
			return nil
		}
		sole = version
	}
	return sole
}

// describe returns what this daemon knows of the software versions of a back end.
func (s *streams) describe(backend string) relay.Origin {
	now := s.fleet.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return relay.Origin{Versions: s.book.Recent(now, backend), AllVersions: s.book.Complete(now), WatchedFor: s.book.WatchedFor(now)}
}

// find returns the software version that began a stream if this daemon knows it.
func (s *streams) find(id uint64) *string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, known := s.book.Find(s.fleet.config.Clock.Now(), id); known {
		return &version
	}
	return nil
}

// sole returns the only software version that the back end has had for as long as a stream may
// be taken up, until after this call began: it reads from the store what has changed in the list
// that this daemon holds. It returns nil unless it knows all versions of that time.
func (s *streams) sole(ctx context.Context, backend string) *string {
	clk := s.fleet.config.Clock
	if clk.Now()-s.fleet.config.Roster.State().AsOf > maxSoleAge || s.confirmer.confirm(ctx) != nil {
		return nil
	}
	if _, complete := s.watch(clk.Now()); !complete {
		s.learnVersions(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, found := s.book.Sole(clk.Now(), backend); found {
		return &version
	}
	return nil
}

// ask asks daemons for the software version that began a stream, until one of them knows.
func (s *streams) ask(ctx context.Context, request originRequest, addresses []string) (result searchResult) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	answers := make(chan heardOrigin, len(addresses))
	for _, address := range addresses {
		go s.askOne(ctx, address, request, answers)
	}
	for range addresses {
		answer := <-answers
		result.heard = result.heard || answer.heard
		if answer.Sole != nil {
			result.sole = answer.Sole
		}
		if answer.Known {
			result.version = &answer.SoftwareVersion
			return result
		}
	}
	return result
}

// heardOrigin is the answer of a daemon, if it was heard.
type heardOrigin struct {
	originAnswer
	heard bool
}

// askOne passes on the answer of a daemon. One that does not answer knows nothing.
func (s *streams) askOne(ctx context.Context, address string, request originRequest, answers chan<- heardOrigin) {
	f := s.fleet
	answer, err := link.Call[originRequest, originAnswer](ctx, f.config.Link, link.Peer{Address: address}, message.FleetStreamOrigin, request)
	if err != nil && ctx.Err() == nil {
		f.config.Logger.WithError(err).WithField("Address", address).Debug("peer could not be asked for the origin of a stream")
	}
	answers <- heardOrigin{originAnswer: answer, heard: err == nil}
}

func (f *Fleet) serveOrigin(ctx context.Context, _ string, request originRequest) (originAnswer, error) {
	s := f.streams
	if version := s.find(request.ID); version != nil {
		return originAnswer{Known: true, SoftwareVersion: *version}, nil
	}
	roots := &originSearch{streams: s, request: request, done: make(chan struct{})}
	if request.AskRoots {
		f.mu.Lock()
		roots.addresses = f.view.RemoteRoots(f.config.Clock.Now())
		f.mu.Unlock()
	}
	roots.request.AskRoots = false
	go roots.run(ctx)
	var sole *string
	if request.Backend != "" {
		sole = s.sole(ctx, request.Backend)
	}
	<-roots.done
	if roots.version != nil {
		return originAnswer{Known: true, SoftwareVersion: *roots.version}, nil
	}
	return originAnswer{Sole: s.agreed(request.Backend, sole, roots.sole)}, nil
}
