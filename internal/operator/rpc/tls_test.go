package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"

	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", encoded)
}

func TestTLS(t *testing.T) {
	certificate, key := writeCertificate(t)
	other, _ := writeCertificate(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server, err := New(Config{
		Settings: ini.Operator{
			Listen: "127.0.0.1:0", Certificate: certificate, CertificateKey: key,
			MaxMessageBytes: 1 << 20, Tokens: map[string]string{"alice": digestOf(token)},
		},
		FleetStatus: func(context.Context) (*operatorv1.FleetStatus, error) { return &operatorv1.FleetStatus{}, nil },
	}, logger)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	tests := []struct {
		name, caFile string
		want         codes.Code
	}{
		{"the right authority", certificate, codes.OK},
		{"another authority", other, codes.Unavailable},
		{"plain text", "", codes.Unavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := client.Dial(client.Options{Server: server.Address(), Token: token, CAFile: test.caFile, Timeout: 20 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, err = c.Fleet.Status(context.Background(), &operatorv1.FleetStatusRequest{})
			wantCode(t, err, test.want)
		})
	}
}
