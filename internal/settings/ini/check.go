package ini

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/netip"
	"os"
)

// checker finds problems that concern several settings or the machine.
type checker struct {
	path     string
	settings *Settings
	lines    lineIndex
	problems Problems
}

func (c *checker) all() {
	caller, operator, peer := c.settings.Caller, c.settings.Operator, c.settings.Peer
	c.certificate("Caller", caller.Certificate, caller.CertificateKey)
	c.certificate("Operator", operator.Certificate, operator.CertificateKey)
	c.certificate("Peer", peer.Certificate, peer.CertificateKey)
	c.authority()
	c.plainText()
	c.advertise()
	c.distinct()
}

func (c *checker) report(setting, format string, args ...any) {
	problem := Problem{Path: c.path, Line: c.lines[setting], Message: setting + " " + fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, problem)
}

func (c *checker) certificate(section, certificate, key string) {
	switch {
	case certificate == "" && key == "":
		return
	case certificate == "":
		c.report(section+".CertificateKey", "is given without Certificate; give both or none")
		return
	case key == "":
		c.report(section+".Certificate", "is given without CertificateKey; give both or none")
		return
	}
	if !c.readable(section+".Certificate", certificate) || !c.readable(section+".CertificateKey", key) {
		return
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		c.report(section+".Certificate", "does not go with CertificateKey: %v", err)
	}
}

func (c *checker) readable(setting, path string) bool {
	file, err := os.Open(path)
	if err != nil {
		c.report(setting, "cannot be read: %v", err)
		return false
	}
	if err := file.Close(); err != nil {
		c.report(setting, "cannot be closed: %v", err)
	}
	return true
}

func (c *checker) authority() {
	const setting = "Peer.CertificateAuthority"
	peer := c.settings.Peer
	switch {
	case peer.CertificateAuthority == "" && peer.Certificate == "":
		return
	case peer.CertificateAuthority == "":
		c.report("Peer.Certificate", "is given without CertificateAuthority; daemons authenticate each other")
		return
	case peer.Certificate == "":
		c.report(setting, "is given without Certificate and CertificateKey; daemons authenticate each other")
		return
	}
	pem, err := os.ReadFile(peer.CertificateAuthority)
	if err != nil {
		c.report(setting, "cannot be read: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		c.report(setting, "holds no certificate in PEM form")
	}
}

// plainText refuses to carry operator tokens and control messages over a
// network without TLS.
func (c *checker) plainText() {
	if !loopback(c.settings.Operator.Listen) && c.settings.Operator.Certificate == "" {
		c.report("Operator.Listen", "is not a loopback address: give Certificate and CertificateKey, since operator tokens must not cross a network in plain text")
	}
	if !loopback(c.settings.Peer.Listen) && c.settings.Peer.Certificate == "" {
		c.report("Peer.Listen", "is not a loopback address: give CertificateAuthority, Certificate and CertificateKey")
	}
}

func (c *checker) advertise() {
	setting, address := "Peer.Advertise", c.settings.Peer.Advertise
	if address == "" {
		setting, address = "Peer.Listen", c.settings.Peer.Listen
	}
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().IsUnspecified() {
		c.report(setting, "does not tell other daemons where to connect; set Peer.Advertise to this VM's address")
	}
}

// listener is one address that the daemon listens on.
type listener struct{ setting, address string }

func (c *checker) listeners() []listener {
	all := []listener{
		{"Caller.Listen", c.settings.Caller.Listen},
		{"Operator.Listen", c.settings.Operator.Listen},
		{"Peer.Listen", c.settings.Peer.Listen},
		{"Metrics.Listen", c.settings.Metrics.Listen},
	}
	if c.settings.Metrics.Listen == "" {
		return all[:3]
	}
	return all
}

func (c *checker) distinct() {
	taken := map[netip.AddrPort]string{}
	for _, l := range c.listeners() {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, found := taken[address]; found {
			c.report(l.setting, "is %s, which %s uses already", l.address, other)
			continue
		}
		taken[address] = l.setting
	}
}

// ports reports addresses that cannot be listened on now.
func (c *checker) ports() {
	var config net.ListenConfig
	for _, l := range c.listeners() {
		probe, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			c.report(l.setting, "cannot be listened on; choose a free address of this machine: %v", err)
			continue
		}
		if err := probe.Close(); err != nil {
			c.report(l.setting, "cannot be closed: %v", err)
		}
	}
}

func loopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
