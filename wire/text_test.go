package wire

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// ownText are the text fields, by message, whose values processes and operators of the system choose.
var ownText = map[string]string{
	"Call":           "organisation route method job", // net/http takes only tokens as methods.
	"Problem":        "kind",
	"Chunk":          "file",
	"ChunkRef":       "file",
	"PullRequest":    "from",
	"Event":          "vm what",
	"Position":       "vm role",
	"Packet":         "from address",
	"Report":         "vm zone role disk address forward",
	"Heartbeat":      "vm address zone region boot models services",
	"Digest":         "zone",
	"Ask":            "organisation",
	"Grant":          "organisation",
	"Release":        "organisation",
	"Released":       "organisation",
	"Change":         "id author",
	"Key":            "id hash",
	"Organisation":   "name labels selector models",
	"Model":          "name version labels selector organisations",
	"Vm":             "name labels",
	"Route":          "name prefix repeatable",
	"Ring":           "members added removed",
	"File":           "id organisation",
	"Part":           "vms file",
	"Job":            "id organisation status owner problem",
	"OpenJob":        "id organisation",
	"Settings":       "vm role region zone listen http debug store vm_list engine data_folder operator_hash peer_secrets",
	"ServiceSetting": "name url",
	"TlsSetting":     "certificate key authority",
	"LotAppend":      "replicas sender",
	"LotRef":         "organisation draft",
	"LotRecord":      "replicas",
	"MemberRecord":   "vm address region zone role disk",
	"SiteSettings":   "vm region zone role listen http ready metrics store data_folder placement",
}

// checkedText are the text fields, by message, whose values come from outside. They are UTF-8 since another package checked
// them or made them so.
var checkedText = map[string]string{
	"Problem":       "message",                         // codec.EncodeError.
	"Event":         "request job organisation detail", // codec.EncodeEvent.
	"Report":        "lots unreachable",                // platform: submissions, entries of servers.
	"LeavingServer": "id service address",              // platform: entries of servers.
	"ColdServer":    "id",                              // platform: entries of servers.
	"Usage":         "backend",                         // platform: entries of servers.
	"Spending":      "organisation",                    // platform: manifests.
	"File":          "name purpose",                    // front: uploads.
	"Header":        "name value",                      // platform: submissions.
	"LotItem":       "id path",                         // platform: submissions.
	"Lot":           "id organisation route host",      // platform: submissions and manifests; net/http checks hosts.
	"LotAppend":     "lot",                             // platform: submissions.
	"LotRef":        "id item host",                    // platform: calls about lots.
	"LotListed":     "id",                              // platform: submissions.
	"LotRecord":     "organisation",                    // platform: manifests.
	// JSON, whose decoder takes only UTF-8.
	"Job":                 "input endpoint window metadata",
	"EventsRequest":       "request job organisation vm",
	"OrganisationCommand": "name labels selector change_id models",
	"KeyCommand":          "organisation id hash change_id",
	"JobView":             "id organisation status owner due problem",
	"Accepted":            "id",
	"Member":              "name address region zone role",
	"Entry":               "key",
	"Lease":               "id",
	"EngineLoad":          "models",
	"Order":               "model version",
	"Ran":                 "id",
	"ApiFault":            "message type code param kind",
	"ApiModel":            "id object owned_by",
	"ApiModels":           "object",
	"ApiFile":             "id object filename purpose status",
	"ApiFiles":            "object",
	"ApiDeleted":          "id object",
	"ApiBatch":            "id object endpoint input_file_id completion_window status output_file_id error_file_id problem metadata",
	"ApiBatches":          "object",
	"ApiBatchRequest":     "input_file_id endpoint completion_window metadata",
}

// TestTextFields guards against a text field that gets bytes from outside unchecked: a message with one that is not UTF-8
// can't be encoded. Each text field is in one of the lists above; fields for any bytes have the type bytes.
func TestTextFields(t *testing.T) {
	for name, f := range map[string]protoreflect.FileDescriptor{"wire": File_wire_proto, "lots": File_lots_proto, "openai": File_openai_proto} {
		t.Run(name, func(t *testing.T) {
			for i := range f.Messages().Len() {
				m := f.Messages().Get(i)
				listed := map[string]int{}
				for _, l := range []string{ownText[string(m.Name())], checkedText[string(m.Name())]} {
					for _, n := range strings.Fields(l) {
						listed[n]++
					}
				}
				for j := range m.Fields().Len() {
					x := m.Fields().Get(j)
					text := x.Kind() == protoreflect.StringKind || x.IsMap() && x.MapKey().Kind() == protoreflect.StringKind
					if n := listed[string(x.Name())]; text && n != 1 || !text && n != 0 {
						t.Errorf("%s.%s is in %d lists", m.Name(), x.Name(), n)
					}
					delete(listed, string(x.Name()))
				}
				for n := range listed {
					t.Errorf("%s has no field %s", m.Name(), n)
				}
			}
		})
	}
}
