package daemon

import (
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// maxLeaderProofAge is the greatest age of the newest confirmation of the
// configuration at which the registry's leader still counts as known.
const maxLeaderProofAge = 5 * time.Second

// operatorsHandler serves the operators' API to clients that the policy
// authenticates by certificate or token.
func (d *Daemon) operatorsHandler() http.Handler {
	cellCalls := operators.HomeCellClient{
		Self: core.VM(d.settings.VM), Registry: d.registry, Local: d.cell, Transport: d.cellTransport(), HotKeys: d.hotkeys,
	}
	server := operators.NewServer(operators.Components{
		Registry: d.registry,
		Voters:   d.registry,
		Cell:     d.cell,
		Tables:   cellCalls,
		Assigner: cellCalls,
		HotKeys:  cellCalls,
		Recorder: d.recorder,
		Peers:    innerproto.NewEventsClient(innerproto.StampedTransport(d.recorder, d.secured.transport)),
		View:     d.view,
	})
	return operators.Authenticate(d.policy, operatorspb.NewOperatorsServer(server))
}

// operatorsPolicy returns the authentication policy for operators that the
// settings and their token hash file describe.
func operatorsPolicy(s settings.Operators) (operators.Policy, error) {
	p := operators.Policy{
		Anyone:       s.Auth == settings.AuthOff,
		Certificates: s.Auth == settings.AuthCertificate || s.Auth == settings.AuthEither,
	}
	if s.Auth != settings.AuthToken && s.Auth != settings.AuthEither {
		return p, nil
	}
	for _, text := range s.TokenHashes {
		hash, err := operators.ParseTokenHash(text)
		if err != nil {
			return p, result.Wrap(result.SettingsInvalid, err, "field operators.token_hashes")
		}
		p.Tokens = append(p.Tokens, hash)
	}
	if s.TokenHashFile != "" {
		hashes, err := operators.ReadTokenHashes(s.TokenHashFile)
		if err != nil {
			return p, result.Wrap(result.SettingsInvalid, err, "field operators.token_hash_file")
		}
		p.Tokens = append(p.Tokens, hashes...)
	}
	return p, nil
}

// view returns the daemon's current state for health checks, metrics and the
// operators' API.
func (d *Daemon) view() health.View {
	return health.View{
		Self:        core.VM(d.settings.VM),
		DataCentre:  core.DataCentre(d.settings.DataCentre),
		State:       d.registry.Current(),
		Table:       d.cell.Table(),
		LeaseLive:   d.cell.Lease().Live(time.Now()),
		LeaderKnown: time.Since(d.registry.localCopy.ConfirmedAt()) < maxLeaderProofAge,
		Coordinator: d.cell.Coordinator(),
		Stopping:    *d.stopping.started.Load(),
	}
}
