// Package api contains the schema of the operators' API, operators.proto. The
// generated code is in package operatorspb.
package api

//go:generate sh -c "protoc --proto_path=. --go_out=operatorspb --go_opt=paths=source_relative --twirp_out=operatorspb --twirp_opt=paths=source_relative operators.proto"
