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

// leaderSilence is how old the newest proof of the configuration may be before
// the registry's leader counts as not known.
const leaderSilence = 5 * time.Second

// operatorsHandler serves operators who show a certificate or a token.
func (d *Daemon) operatorsHandler() http.Handler {
	choices := operators.HomeCellClient{
		Self: core.VM(d.settings.VM), Registry: d.registry, Local: d.cell, Transport: d.cellTransport(), HotKeys: d.hotkeys,
	}
	server := operators.NewServer(operators.Components{
		Registry: d.registry,
		Voters:   d.registry,
		Cell:     d.cell,
		Tables:   choices,
		Assigner: choices,
		HotKeys:  choices,
		Recorder: d.recorder,
		Peers:    innerproto.NewEventsClient(innerproto.StampedTransport(d.recorder, d.secured.transport)),
		View:     d.view,
	})
	return operators.Authenticate(d.policy, operatorspb.NewOperatorsServer(server))
}

// operatorsPolicy reads who counts as an operator.
func operatorsPolicy(s settings.Operators) (operators.Policy, error) {
	p := operators.Policy{
		Anyone:       s.Auth == settings.AuthOff,
		Certificates: s.Auth == settings.AuthCertificate || s.Auth == settings.AuthEither,
	}
	if s.Auth != settings.AuthToken && s.Auth != settings.AuthEither {
		return p, nil
	}
	for _, text := range s.TokenHashes {
		h, err := operators.ParseTokenHash(text)
		if err != nil {
			return p, result.Wrap(result.SettingsInvalid, err, "field operators.token_hashes")
		}
		p.Tokens = append(p.Tokens, h)
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

// view returns what this daemon sees now.
func (d *Daemon) view() health.View {
	return health.View{
		Self:        core.VM(d.settings.VM),
		DataCentre:  core.DataCentre(d.settings.DataCentre),
		State:       d.registry.Current(),
		Table:       d.cell.Table(),
		LeaseLive:   d.cell.Lease().Live(time.Now()),
		LeaderKnown: time.Since(d.registry.copy.ConfirmedAt()) < leaderSilence,
		Coordinator: d.cell.Coordinator(),
		Stopping:    *d.stopping.begun.Load(),
	}
}
