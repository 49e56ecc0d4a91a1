package record

import (
	"net"
	"testing"
)

func TestScannerFindsKeyPrefixAcrossReads(t *testing.T) {
	tests := []struct {
		name   string
		writes []string
		want   int64
	}{
		{"whole", []string{"Authorization: Bearer bs_k1_x"}, 1},
		{"split", []string{"xb", "s_k1"}, 1},
		{"byte by byte", []string{"b", "s", "_"}, 1},
		{"clean", []string{"b", "s-", "_bs", " _"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := net.Pipe()
			leaks := &LeakCounter{}
			conn := &scannedConn{Conn: server, leaks: leaks}
			go func() {
				for _, write := range test.writes {
					client.Write([]byte(write))
				}
				client.Close()
			}()
			buffer := make([]byte, 100)
			for {
				if _, err := conn.Read(buffer); err != nil {
					break
				}
			}
			if leaks.Count() != test.want {
				t.Errorf("got %d leaks, want %d", leaks.Count(), test.want)
			}
		})
	}
}
