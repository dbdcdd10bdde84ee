package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// client is an HTTP client that adds the operator token to each request.
type client struct {
	http  *http.Client
	token string
}

// Do implements operatorspb.HTTPClient.
func (c client) Do(r *http.Request) (*http.Response, error) {
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return c.http.Do(r)
}

func (a *app) client() (client, error) {
	token, err := a.token()
	if err != nil {
		return client{}, err
	}
	config, err := a.tls()
	if err != nil {
		return client{}, err
	}
	return client{token: token, http: &http.Client{
		Timeout: a.timeout, Transport: &http.Transport{TLSClientConfig: config},
	}}, nil
}

func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		return a.env.Token, nil
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", misuse("-token-file: %s", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (a *app) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.authority != "" {
		pem, err := os.ReadFile(a.authority)
		if err != nil {
			return nil, misuse("-authority-file: %s", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, misuse("-authority-file: want PEM certificates in %s", a.authority)
		}
	}
	if a.cert == "" && a.key == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(a.cert, a.key)
	if err != nil {
		return nil, misuse("-certificate-file and -key-file: %s", err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}

// endpoint is the operators' API of one daemon.
type endpoint struct {
	address string
	operatorspb.Operators
}

func (a *app) endpoints() ([]endpoint, error) {
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	var all []endpoint
	for _, address := range strings.Split(a.addresses, ",") {
		if !strings.HasPrefix(address, "http://") && !strings.HasPrefix(address, "https://") {
			return nil, misuse("-address: want URLs such as %s, not %q", defaultAddress, address)
		}
		all = append(all, endpoint{address, operatorspb.NewOperatorsProtobufClient(address, c)})
	}
	return all, nil
}

// call sends a request to one daemon after the other, until one succeeds or
// returns an error that the other daemons would return as well.
func call[M any](ctx context.Context, a *app, send func(context.Context, operatorspb.Operators) (M, error)) (M, error) {
	var answer M
	endpoints, err := a.endpoints()
	if err != nil {
		return answer, err
	}
	for _, endpoint := range endpoints {
		answer, err = send(ctx, endpoint.Operators)
		err = operators.FromTwirp(err)
		if !anotherDaemonMaySucceed(err) {
			return answer, err
		}
		err = fmt.Errorf("%s: %w", endpoint.address, err)
	}
	return answer, err
}

// anotherDaemonMaySucceed reports whether another daemon may succeed where one
// failed with err.
func anotherDaemonMaySucceed(err error) bool {
	var refused *operators.CallError
	if !errors.As(err, &refused) {
		return err != nil
	}
	switch refused.Code {
	case result.NoLeader, result.CommitUnknown, result.Starting, result.Stopping, result.Overloaded:
		return true
	}
	return false
}

// change sends a change and prints the configuration version that is in force
// after it. All attempts carry the same request ID, by which the daemons
// recognize a retry.
func (a *app) change(ctx context.Context, send func(context.Context, operatorspb.Operators, *operatorspb.Change) (*operatorspb.ChangeAnswer, error)) error {
	c := &operatorspb.Change{RequestId: a.requestID, ExpectedVersion: a.expected}
	if c.RequestId == "" {
		c.RequestId = rand.Text()
	}
	answer, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.ChangeAnswer, error) {
		return send(ctx, ops, c)
	})
	var refused *operators.CallError
	var localErr *result.Error
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &localErr) {
		return fmt.Errorf("no answer, the change may be in force; send it again with -request-id %s: %w", c.RequestId, err)
	}
	if err != nil {
		return err
	}
	return a.show(answer, func(o *output) { o.printf("version %d is in force\n", answer.GetVersion()) })
}
