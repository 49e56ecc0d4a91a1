package serve

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// metricsReadTimeout bounds reading a request for metrics.
const metricsReadTimeout = 5 * clock.Second

// metricsServer serves expvar and the profiles; it is off without an address.
type metricsServer struct {
	listen string
	logger logrus.FieldLogger
	server *http.Server
}

func (d *Daemon) buildMetrics() error {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	d.metrics = &metricsServer{
		listen: d.settings.Metrics.Listen,
		logger: d.logger,
		server: &http.Server{Handler: mux, ReadHeaderTimeout: metricsReadTimeout.Duration()},
	}
	return nil
}

// Start listens and serves until Close.
func (m *metricsServer) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start metrics interface on %s", m.listen) }()
	if m.listen == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", m.listen)
	if err != nil {
		return err
	}
	go m.run(listener)
	return nil
}

func (m *metricsServer) run(listener net.Listener) {
	if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		eventTaskFailed.Log(m.logger, logrus.Fields{"Task": "Metrics", "Error": err.Error()})
	}
}

// Close ends the server.
func (m *metricsServer) Close() error {
	return m.server.Close()
}
