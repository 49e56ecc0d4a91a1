// Package vmlist reads the platform's list of the VMs that run the system. The list
// lags some seconds behind the actual state.
//
// # Usage
//
//	client := vmlist.New("http://10.0.0.1:8000", httpClient)
//	vms, err := client.List(ctx)
package vmlist

// VM is one entry of the list.
type VM struct {
	// ID is the name of the VM and the Daemon.ID of the process on it.
	ID string
	// Address is the host:port of the daemon's peer interface.
	Address       string
	Region        string
	FailureDomain string
	// Leaving reports whether the VM is being shut down.
	Leaving bool
}
