package main

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/survey"
)

// peerFlags are the flags for access to the processes of the fleet.
type peerFlags struct {
	Peers       []settings.Address `long:"peer" env:"SALTBEND_PEERS" env-delim:"," value-name:"IP:PORT" description:"control address of a process to ask first, best a balancer; may be repeated (required)"`
	Secrets     settings.Secret    `long:"secrets" env:"SALTBEND_SECRETS" value-name:"ID:HEX[,ID:HEX]" default-mask:"-" description:"fleet secrets, the current one first; a process list shows flags, so prefer the environment or --secrets-file"`
	SecretsFile string             `long:"secrets-file" env:"SALTBEND_SECRETS_FILE" value-name:"PATH" description:"file with the fleet secrets"`
	PeerTimeout time.Duration      `long:"peer-timeout" env:"SALTBEND_PEER_TIMEOUT" default:"3s" value-name:"DURATION" description:"time for one call of a process"`
}

// fleetAccess is an authenticated client of the fleet's processes.
type fleetAccess struct {
	caller *peer.Peer
	client survey.Client
	peers  []netip.AddrPort
}

// open checks the flags and returns the client. Its error holds all findings on the flags.
// Whoever calls open must close the Peer in the field caller of the result.
func (p *peerFlags) open() (*fleetAccess, error) {
	var f settings.Findings
	if len(p.Peers) == 0 {
		f = append(f, settings.Finding{Place: "--peer (SALTBEND_PEERS)", Message: "no process is given", Remedy: "give the control address of a balancer"})
	}
	var peers []netip.AddrPort
	for _, a := range p.Peers {
		if _, err := a.Parse(); err != nil {
			f = append(f, settings.Finding{Place: "--peer (SALTBEND_PEERS)", Message: err.Error(), Remedy: "give numbers, such as 192.0.2.1:4100"})
		}
		peers = append(peers, a.AddrPort())
	}
	if p.PeerTimeout <= 0 {
		f.Add("peer-timeout", "the time is not positive", "give a duration such as 3s")
	}
	common := settings.Common{Secrets: p.Secrets, SecretsFile: p.SecretsFile}
	ring, err := common.LoadRing()
	if err != nil {
		f.Add("secrets", err.Error(), "give the fleet's secrets as ID:HEX")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	caller, err := peer.NewCaller(ring, peer.WithDial(p.PeerTimeout))
	if err != nil {
		return nil, err
	}
	return &fleetAccess{
		caller: caller,
		client: survey.Client{Caller: caller, Timeout: p.PeerTimeout},
		peers:  peers,
	}, nil
}
