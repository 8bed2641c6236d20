package peer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"

	"carawaycart/message"
)

// Handler answers the calls of peers. Its methods must be idempotent and safe
// for concurrent use.
type Handler interface {
	// Exchange merges the updates in the message. It answers a probe with digests
	// and the state that the probe requests, and other messages with an empty one.
	Exchange(*message.Exchange) (*message.Exchange, error)
	// Pull returns the state that a joining or lagging instance requests.
	Pull(*message.PullRequest) (*message.PullReply, error)
	// Records merges replicated flow records and ended flows.
	Records(*message.RecordBatch) error
	// Begin asks the receiver, as keeper of the key, to admit an attempt at a keyed
	// request.
	Begin(*message.Claim) (*message.ClaimReply, error)
	// Finish reports the outcome of an attempt to the keeper of its key.
	Finish(*message.Claim) error
	// Copy merges replicated claims and returns the receiver's claims that conflict
	// with them.
	Copy(*message.ClaimBatch) (*message.ClaimCopies, error)
	// Acquire asks the receiver, as keeper of the endpoint, for a permit.
	Acquire(*message.AcquireRequest) (*message.AcquireReply, error)
	// Release returns a permit to the keeper of the endpoint.
	Release(*message.ReleaseRequest) error
}

// service adapts a Handler to the method signatures of net/rpc.
type service struct{ handler Handler }

// answer copies what handle returns to reply, which net/rpc allocated. It uses
// copyFields, since protobuf messages must not be copied by assignment. If handle
// returns an error or panics, it returns that as an error instead: net/rpc does not
// recover, and one message must not end the process.
func answer[M any](reply *M, handle func() (*M, error), copyFields func(dst, src *M)) (err error) {
	defer recoverAsError(&err)
	result, err := handle()
	if err != nil {
		return err
	}
	copyFields(reply, result)
	return nil
}

// run returns what handle returns, or its panic, as an error.
func run(handle func() error) (err error) {
	defer recoverAsError(&err)
	return handle()
}

// recoverAsError sets err if the function that deferred it panics.
func recoverAsError(err *error) {
	if p := recover(); p != nil {
		*err = errors.Errorf("panic: %v", p)
	}
}

// Exchange serves Handler.Exchange. It does not copy the fields that only probes
// have.
func (s *service) Exchange(args, reply *message.Exchange) error {
	handle := func() (*message.Exchange, error) { return s.handler.Exchange(args) }
	return answer(reply, handle, func(d, r *message.Exchange) {
		d.Self, d.Members, d.Statuses, d.Changes = r.Self, r.Members, r.Statuses, r.Changes
		d.MemberDigest, d.StatusDigest, d.From = r.MemberDigest, r.StatusDigest, r.From
	})
}

// Pull serves Handler.Pull.
func (s *service) Pull(args *message.PullRequest, reply *message.PullReply) error {
	handle := func() (*message.PullReply, error) { return s.handler.Pull(args) }
	return answer(reply, handle, func(d, r *message.PullReply) {
		d.Snapshot, d.Changes, d.Exchange, d.Records, d.Claims = r.Snapshot, r.Changes, r.Exchange, r.Records, r.Claims
	})
}

// Records serves Handler.Records.
func (s *service) Records(args *message.RecordBatch, _ *message.Acknowledgement) error {
	return run(func() error { return s.handler.Records(args) })
}

// Begin serves Handler.Begin.
func (s *service) Begin(args *message.Claim, reply *message.ClaimReply) error {
	handle := func() (*message.ClaimReply, error) { return s.handler.Begin(args) }
	return answer(reply, handle, func(d, r *message.ClaimReply) { d.Verdict, d.Claim = r.Verdict, r.Claim })
}

// Finish serves Handler.Finish.
func (s *service) Finish(args *message.Claim, _ *message.Acknowledgement) error {
	return run(func() error { return s.handler.Finish(args) })
}

// Copy serves Handler.Copy.
func (s *service) Copy(args *message.ClaimBatch, reply *message.ClaimCopies) error {
	handle := func() (*message.ClaimCopies, error) { return s.handler.Copy(args) }
	return answer(reply, handle, func(d, r *message.ClaimCopies) { d.Conflicts = r.Conflicts })
}

// Acquire serves Handler.Acquire.
func (s *service) Acquire(args *message.AcquireRequest, reply *message.AcquireReply) error {
	handle := func() (*message.AcquireReply, error) { return s.handler.Acquire(args) }
	return answer(reply, handle, func(d, r *message.AcquireReply) { d.Granted, d.State = r.Granted, r.State })
}

// Release serves Handler.Release.
func (s *service) Release(args *message.ReleaseRequest, _ *message.Acknowledgement) error {
	return run(func() error { return s.handler.Release(args) })
}

// DirectoryHandler answers the calls of peers that replicate a directory. Its method
// must be idempotent and safe for concurrent use.
type DirectoryHandler interface {
	// Directory returns a snapshot with the changes after the revision of the
	// requesting peer, and registers the peer if the request asks for that.
	Directory(*message.DirectoryRequest) (*message.DirectoryCopy, error)
}

// directoryService adapts a DirectoryHandler to the method signatures of net/rpc.
type directoryService struct{ handler DirectoryHandler }

// Directory serves DirectoryHandler.Directory.
func (s *directoryService) Directory(args *message.DirectoryRequest, reply *message.DirectoryCopy) error {
	handle := func() (*message.DirectoryCopy, error) { return s.handler.Directory(args) }
	return answer(reply, handle, func(d, r *message.DirectoryCopy) {
		d.AtRevision, d.Era, d.AgeMs, d.TroubleMs, d.CompressedBody = r.AtRevision, r.Era, r.AgeMs, r.TroubleMs, r.CompressedBody
	})
}

// Server accepts connections of peers and serves their calls.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer serves handler on listener until Close and counts the bytes sent with
// meter.
func NewServer(listener net.Listener, handler Handler, meter Meter) (*Server, error) {
	return newServer(listener, &service{handler}, meter)
}

// NewDirectoryServer serves handler, instead of a Handler, on listener until Close
// and counts the bytes sent with meter.
func NewDirectoryServer(listener net.Listener, handler DirectoryHandler, meter Meter) (*Server, error) {
	return newServer(listener, &directoryService{handler}, meter)
}

// newServer serves methods, whose signatures are those of net/rpc, under the name
// "Peer".
func newServer(listener net.Listener, methods any, meter Meter) (*Server, error) {
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName("Peer", methods); err != nil {
		return nil, errors.Annotate(err, "register peer service")
	}
	s := &Server{listener: listener, conns: make(map[net.Conn]struct{})}
	s.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !s.addConn(conn) {
				continue
			}
			s.wg.Go(func() {
				defer s.removeConn(conn)
				rpcServer.ServeCodec(&serverCodec{newCodec(conn, meter)})
			})
		}
	})
	return s, nil
}

// addConn registers conn, or closes it and returns false if the server is closed.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting connections, closes the existing ones and waits for running
// calls.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
