package crashnews

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Fingerprint returns a number that is the same in all daemons that know of the same crashes.
func (e *Exchange) Fingerprint() uint64 {
	if !e.known.Load() {
		return 0
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Fingerprint(now)
}

// Sync exchanges what is known with a peer that has another fingerprint.
func (e *Exchange) Sync(ctx context.Context, peer string, fingerprint uint64) {
	if fingerprint == e.Fingerprint() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout.Duration())
	defer cancel()
	answer, err := link.Call[bookRequest, news](ctx, e.config.Link, link.Peer{Address: peer}, message.CrashBook, bookRequest{})
	if err != nil {
		e.config.Logger.WithError(err).WithField("Address", peer).Debug("peer could not be asked for the crashes that it knows")
		return
	}
	e.learnNews(answer)
	if fingerprint == e.Fingerprint() {
		return
	}
	if err := link.Send(e.config.Link, link.Peer{Address: peer}, message.CrashNews, e.encoded()); err != nil {
		e.config.Logger.WithError(err).WithField("Address", peer).Debug("crashes could not be told to a peer")
	}
}

// encoded returns all that this daemon knows.
func (e *Exchange) encoded() (all news) {
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.book.Crashes() {
		all.Crashes = append(all.Crashes, newCrash(now, c))
	}
	return all
}

func (e *Exchange) serveBook(context.Context, string, bookRequest) (news, error) {
	return e.encoded(), nil
}
