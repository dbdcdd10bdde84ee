package settings

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Check fills in defaults and validates the settings. The error is one line that
// names the invalid field and what it allows.
func (s *Settings) Check() error {
	if s.Advertise == "" {
		s.Advertise = s.Listen.Inner
	}
	for _, rule := range []func() error{
		func() error { return checkFields("", reflect.ValueOf(s).Elem()) },
		s.checkAddresses,
		s.checkAuth,
		func() error { return checkTLS("inner_tls", s.InnerTLS, "listen.inner", s.Listen.Inner) },
		func() error { return checkTLS("operators_tls", s.OperatorsTLS, "listen.operators", s.Listen.Operators) },
		s.checkBootstrap,
	} {
		if err := rule(); err != nil {
			return result.Wrap(result.SettingsInvalid, err, "settings")
		}
	}
	return nil
}

// checkFields fills in the default of each field and validates its value against
// the field's tags.
func checkFields(path string, v reflect.Value) error {
	for _, f := range fieldsOf(v.Type()) {
		if err := checkField(join(path, f.name), f, v.Field(f.index)); err != nil {
			return err
		}
	}
	return nil
}

func checkField(path string, f field, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return checkField(path, f, v.Elem())
	case reflect.Struct:
		return checkFields(path, v)
	case reflect.Slice:
		return checkList(path, f, v)
	case reflect.Int, reflect.Int64:
		return checkNumber(path, f, v)
	}
	if v.String() == "" {
		v.SetString(f.defaultValue)
	}
	return checkText(path, f, v.String())
}

// checkNumber validates the range of a number. 0 counts as absent if it is below
// the minimum, and is replaced by the default.
func checkNumber(path string, f field, v reflect.Value) error {
	if v.Int() == 0 && f.min > 0 {
		v.SetInt(number(f.defaultValue))
	}
	if n := v.Int(); n < f.min || n > f.max {
		return fmt.Errorf("field %s: want %d to %d %s, not %d", path, f.min, f.max, f.unit, n)
	}
	return nil
}

func checkList(path string, f field, v reflect.Value) error {
	f.required = true // a list may be absent, but its items may not be empty
	for i := range v.Len() {
		if err := checkField(fmt.Sprintf("%s[%d]", path, i), f, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func checkText(path string, f field, text string) error {
	if text == "" && !f.required {
		return nil
	}
	if len(f.enum) > 0 && !slices.Contains(f.enum, text) {
		return fmt.Errorf("field %s: want one of %s, not %q", path, strings.Join(f.enum, ", "), text)
	}
	form, ok := forms[f.form]
	if ok && !regexp.MustCompile(form.pattern).MatchString(text) || f.form == "address" && !validAddress(text) {
		return fmt.Errorf("field %s: want %s, not %q", path, form.want, text)
	}
	return nil
}

func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (s *Settings) checkAddresses() error {
	seen := map[string]string{}
	for _, f := range fieldsOf(reflect.TypeFor[Listen]()) {
		address, path := reflect.ValueOf(s.Listen).Field(f.index).String(), "listen."+f.name
		if other, ok := seen[address]; ok && !strings.HasSuffix(address, ":0") {
			return fmt.Errorf("field %s: want an address of its own; %s is already that of %s", path, address, other)
		}
		seen[address] = path
	}
	return nil
}

func (s *Settings) checkAuth() error {
	o := s.Operators
	switch o.Auth {
	case AuthOff:
		if !loopback(s.Listen.Operators) {
			return fmt.Errorf("field operators.auth: want %s, %s or %s, since listen.operators %s is not loopback",
				AuthToken, AuthCertificate, AuthEither, s.Listen.Operators)
		}
	case AuthCertificate, AuthEither:
		if !s.OperatorsTLS.Enabled() {
			return fmt.Errorf("field operators.auth: %s requires the files of operators_tls", o.Auth)
		}
	}
	needsToken := o.Auth == AuthToken || o.Auth == AuthEither
	if needsToken && len(o.TokenHashes) == 0 && o.TokenHashFile == "" {
		return fmt.Errorf("field operators.auth: %s requires operators.token_hashes or operators.token_hash_file", o.Auth)
	}
	return nil
}

func checkTLS(path string, t TLS, listener, address string) error {
	files := []struct{ name, value string }{
		{"certificate_file", t.CertificateFile}, {"key_file", t.KeyFile}, {"authority_file", t.AuthorityFile},
	}
	for _, f := range files {
		if (f.value != "") != t.Enabled() {
			return fmt.Errorf("field %s.%s: want certificate_file, key_file and authority_file all set or all absent", path, f.name)
		}
	}
	if !t.Enabled() && t.PlainText != PlainTextAllowed && !loopback(address) {
		return fmt.Errorf("field %s: want key files, or plain_text %q, since %s %s is not loopback",
			path, PlainTextAllowed, listener, address)
	}
	return nil
}

func loopback(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	return net.ParseIP(host).IsLoopback()
}

func (s *Settings) checkBootstrap() error {
	if s.Registry == nil && len(s.Seeds) == 0 && len(s.Bootstrap.Cells) == 0 {
		return fmt.Errorf("field seeds: want the inner address of at least one registry voter, since field registry is absent")
	}
	seen := map[string]string{}
	for i, c := range s.Bootstrap.Cells {
		for j, m := range c.Members {
			path := fmt.Sprintf("bootstrap.cells[%d].members[%d].vm", i, j)
			if other, ok := seen[m.VM]; ok {
				return fmt.Errorf("field %s: want each VM in one cell, once; %s is already %s", path, m.VM, other)
			}
			seen[m.VM] = path
		}
	}
	return nil
}

// CheckFiles checks that the certificate, key and authority files exist.
func (s *Settings) CheckFiles() error {
	for path, t := range map[string]TLS{"inner_tls": s.InnerTLS, "operators_tls": s.OperatorsTLS} {
		v := reflect.ValueOf(t)
		for _, f := range fieldsOf(v.Type()) {
			name := v.Field(f.index).String()
			if f.form != "path" || name == "" {
				continue
			}
			if info, err := os.Stat(name); err != nil || info.IsDir() {
				return result.New(result.SettingsInvalid, "settings: field %s.%s: want a file that exists, not %q", path, f.name, name)
			}
		}
	}
	return nil
}
