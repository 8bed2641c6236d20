package message

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/core/directory"
)

// maxBodyBytes is the number of bytes after which the decompression of a
// DirectoryBody stops. It limits the memory that a small compressed body can occupy.
const maxBodyBytes = 64 << 20

// FromItems returns the messages for items.
func FromItems(items []carawaycart.StoreItem) []*StoreItem {
	messages := make([]*StoreItem, len(items))
	for i, item := range items {
		messages[i] = &StoreItem{Key: item.Key, Value: item.Value, Revision: uint64(item.Revision), Retained: item.Retained}
	}
	return messages
}

// ToItems returns the items in messages.
func ToItems(messages []*StoreItem) []carawaycart.StoreItem {
	items := make([]carawaycart.StoreItem, len(messages))
	for i, m := range messages {
		items[i] = carawaycart.StoreItem{Key: m.GetKey(), Value: m.GetValue(), Revision: carawaycart.StoreRevision(m.GetRevision()), Retained: m.GetRetained()}
	}
	return items
}

// ToDelta returns the delta in n. It is empty if n is partial.
func ToDelta(n *DirectoryNews) directory.Delta {
	return directory.Delta{
		From: ToPosition(n.GetEra(), n.GetFromRevision()), To: ToPosition(n.GetEra(), n.GetToRevision()),
		Items: ToItems(n.GetItems()), RemovedKeys: n.GetMissing(),
	}
}

// ToPosition returns the position of a revision in an era.
func ToPosition(era, revision uint64) directory.Position {
	return directory.Position{Era: carawaycart.StoreEra(era), Revision: carawaycart.StoreRevision(revision)}
}

// FromSnapshot returns the message for the snapshot s, where age is the time since the
// store was read.
func FromSnapshot(s directory.Snapshot, age time.Duration) (*DirectoryCopy, error) {
	body := &DirectoryBody{Items: FromItems(s.Items), Keys: s.Keys}
	if s.Delta != nil {
		body = &DirectoryBody{Items: FromItems(s.Delta.Items), FromRevision: uint64(s.Delta.From.Revision), Removed: s.Delta.RemovedKeys}
	}
	for i := range s.Ended {
		body.Ended = append(body.Ended, fromEnded(&s.Ended[i]))
	}
	data, err := proto.Marshal(body)
	if err != nil {
		return nil, errors.Annotate(err, "encode directory snapshot")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress directory snapshot")
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errors.Annotate(err, "compress directory snapshot")
	}
	return &DirectoryCopy{
		AtRevision: uint64(s.At.Revision), Era: uint64(s.At.Era), AgeMs: uint32(age.Milliseconds()), CompressedBody: b.Bytes(),
	}, nil
}

func fromEnded(e *directory.EndedLifetime) *EndedLifetime {
	m := &EndedLifetime{Id: string(e.Lifetime.ID), BornMs: int64(e.Lifetime.StartedAt), Absent: e.Absent}
	if e.Lifetime.Address.IsValid() {
		m.Address, m.Service, m.Zone = e.Lifetime.Address.String(), string(e.Lifetime.Service), string(e.Lifetime.Zone)
		m.Number = uint64(e.Lifetime.Number)
	}
	return m
}

// toEnded returns the lifetime in m. It counts as absent only if its address is valid.
func toEnded(m *EndedLifetime) directory.EndedLifetime {
	e := directory.EndedLifetime{Lifetime: carawaycart.Lifetime{ID: carawaycart.EndpointID(m.GetId()), StartedAt: carawaycart.UnixMillis(m.GetBornMs())}}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || !address.Addr().Is4() {
		return e
	}
	e.Absent, e.Lifetime.Address, e.Lifetime.Number = m.GetAbsent(), address, carawaycart.EndpointNumber(m.GetNumber())
	e.Lifetime.Service, e.Lifetime.Zone = carawaycart.ServiceID(m.GetService()), carawaycart.ZoneID(m.GetZone())
	return e
}

// ToSnapshot returns the snapshot in m. The error is NotValid if the body cannot be
// decompressed or decoded, or exceeds maxBodyBytes.
func ToSnapshot(m *DirectoryCopy) (directory.Snapshot, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetCompressedBody())), maxBodyBytes+1))
	if err != nil {
		return directory.Snapshot{}, errors.NewNotValid(err, "compressed directory snapshot")
	}
	if len(data) > maxBodyBytes {
		return directory.Snapshot{}, errors.NotValidf("directory snapshot of more than %d bytes", maxBodyBytes)
	}
	body := &DirectoryBody{}
	if err := proto.Unmarshal(data, body); err != nil {
		return directory.Snapshot{}, errors.NewNotValid(err, "directory snapshot")
	}
	s := directory.Snapshot{At: ToPosition(m.GetEra(), m.GetAtRevision())}
	if from := body.GetFromRevision(); from != 0 {
		s.Delta = &directory.Delta{
			From: ToPosition(m.GetEra(), from), To: s.At, Items: ToItems(body.GetItems()), RemovedKeys: body.GetRemoved(),
		}
	} else {
		s.Items, s.Keys = ToItems(body.GetItems()), body.GetKeys()
	}
	for _, e := range body.GetEnded() {
		s.Ended = append(s.Ended, toEnded(e))
	}
	return s, nil
}
