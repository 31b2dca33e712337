// Package control implements the protocol between hosts: CBOR frames over TCP,
// authenticated by the deployment key. It contains the client, which finds the
// leader of a log group, and the control host of a deployment with a fixed set
// of control hosts, which replicates the log groups and grants leases. Package
// cluster uses the protocol in deployments whose hosts may be added and removed
// at any time.
//
// The replicated log is in package replica, and the state machines are in
// packages ledger, membership and tree. Start reading at Client and Host.
package control
