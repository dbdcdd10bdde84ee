// Package innerproto is the protocol between the system's own processes: its
// schema in .proto files, the generated code in innerpb, and the handlers and
// clients that convert between wire messages and the types of the other packages.
// Packages that make decisions don't import it.
package innerproto

//go:generate sh -c "protoc --proto_path=. --go_out=innerpb --go_opt=paths=source_relative --twirp_out=innerpb --twirp_opt=paths=source_relative *.proto"
