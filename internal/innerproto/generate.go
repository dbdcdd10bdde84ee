// Package innerproto is the protocol between the system's own processes: its
// schema, the generated code in innerpb, and the edges that turn wire messages
// into the tasks' messages and back. No deciding package imports it.
package innerproto

//go:generate sh -c "protoc --proto_path=. --go_out=innerpb --go_opt=paths=source_relative --twirp_out=innerpb --twirp_opt=paths=source_relative *.proto"
