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

// checker finds problems that depend on several settings or on the machine.
type checker struct {
	path     string
	settings *Settings
	lines    lineIndex
	problems Problems
}

func (c *checker) checkSettings() {
	caller, operator, peer := c.settings.Caller, c.settings.Operator, c.settings.Peer
	c.checkCertificate("Caller", caller.Certificate, caller.CertificateKey)
	c.checkCertificate("Operator", operator.Certificate, operator.CertificateKey)
	c.checkCertificate("Peer", peer.Certificate, peer.CertificateKey)
	c.checkAuthority()
	c.checkTLS()
	c.checkAdvertise()
	c.checkDistinctAddresses()
}

func (c *checker) report(setting, format string, args ...any) {
	problem := Problem{Path: c.path, Line: c.lines[setting], Message: setting + " " + fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, problem)
}

func (c *checker) checkCertificate(section, certificate, key string) {
	switch {
	case certificate == "" && key == "":
		return
	case certificate == "":
		c.report(section+".CertificateKey", "is set without Certificate; set both or none")
		return
	case key == "":
		c.report(section+".Certificate", "is set without CertificateKey; set both or none")
		return
	}
	if !c.checkReadable(section+".Certificate", certificate) || !c.checkReadable(section+".CertificateKey", key) {
		return
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		c.report(section+".Certificate", "cannot be used with CertificateKey: %v", err)
	}
}

func (c *checker) checkReadable(setting, path string) bool {
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

func (c *checker) checkAuthority() {
	const setting = "Peer.CertificateAuthority"
	peer := c.settings.Peer
	switch {
	case peer.CertificateAuthority == "" && peer.Certificate == "":
		return
	case peer.CertificateAuthority == "":
		c.report("Peer.Certificate", "is set without CertificateAuthority; daemons authenticate each other")
		return
	case peer.Certificate == "":
		c.report(setting, "is set without Certificate and CertificateKey; daemons authenticate each other")
		return
	}
	pem, err := os.ReadFile(peer.CertificateAuthority)
	if err != nil {
		c.report(setting, "cannot be read: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		c.report(setting, "contains no certificate in PEM format")
	}
}

// checkTLS requires TLS on listeners that are not on a loopback address, so that
// operator tokens and messages between daemons do not cross a network in plain
// text.
func (c *checker) checkTLS() {
	if !isLoopback(c.settings.Operator.Listen) && c.settings.Operator.Certificate == "" {
		c.report("Operator.Listen", "is not a loopback address: set Certificate and CertificateKey, since operator tokens must not cross a network in plain text")
	}
	if !isLoopback(c.settings.Peer.Listen) && c.settings.Peer.Certificate == "" {
		c.report("Peer.Listen", "is not a loopback address: set CertificateAuthority, Certificate and CertificateKey")
	}
}

func (c *checker) checkAdvertise() {
	setting, address := "Peer.Advertise", c.settings.Peer.Advertise
	if address == "" {
		setting, address = "Peer.Listen", c.settings.Peer.Listen
	}
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().IsUnspecified() {
		c.report(setting, "is an unspecified address, which other daemons cannot connect to; set Peer.Advertise to this VM's address")
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

func (c *checker) checkDistinctAddresses() {
	taken := map[netip.AddrPort]string{}
	for _, l := range c.listeners() {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, found := taken[address]; found {
			c.report(l.setting, "is %s, which is already used by %s", l.address, other)
			continue
		}
		taken[address] = l.setting
	}
}

// checkListenable listens on each address for a moment and reports the addresses
// for which this fails.
func (c *checker) checkListenable() {
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

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
