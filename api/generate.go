// Package api holds the operators' schema, operators.proto; the generated code
// is in operatorspb.
package api

//go:generate sh -c "protoc --proto_path=. --go_out=operatorspb --go_opt=paths=source_relative --twirp_out=operatorspb --twirp_opt=paths=source_relative operators.proto"
