/** A guarantee that did not hold during a run. */
export interface Violation {
  /**
   * - `home`: bound requests run only in their home region.
   * - `customer`: a request runs for the customer that holds its key, which servers do not see.
   * - `evacuation`: an evacuated zone receives no requests after the time limit.
   * - `drain`: a server whose response said that it leaves gets nothing more from the same host.
   * - `pause`: a server that asked a host for a pause gets nothing from it for that time.
   * - `brittle`: servers that bear few rejections do not fall over.
   * - `budget`: retries stay within the retry budget.
   * - `twice`: no request runs at more servers than its route allows.
   * - `refused`: a request with an error response that rules out its execution has not run.
   * - `mixed`: a caller receives the response to its own request.
   * - `order`: events of a stream arrive in order, and all of them in a complete response.
   * - `joined`: all events of a stream, over all tries of its caller, come from one software version.
   * - `sequence`: over all tries, every event of a stream comes once and in order, and all in the end.
   * - `resumed`: streams that callers take up again go on.
   * - `spans`: the hosts' logs show no stream of two versions, with gaps or repetitions.
   * - `late`: a response arrives in time.
   * - `lost`: a planned stop of a host interrupts no request.
   * - `unread`: a request that was sent in time on an open connection is read.
   * - `gone`: requests whose callers have left are not sent to servers.
   * - `exit`: a host process exits only when it is stopped.
   * - `recover`: the system serves requests after its start and after the last fault.
   * - `stranded`: callers of a host that reaches no server are served as those of other hosts are.
   * - `config`: every host adopts a new configuration in time.
   */
  readonly promise:
    | 'home'
    | 'customer'
    | 'evacuation'
    | 'drain'
    | 'pause'
    | 'brittle'
    | 'budget'
    | 'twice'
    | 'refused'
    | 'mixed'
    | 'order'
    | 'joined'
    | 'sequence'
    | 'resumed'
    | 'spans'
    | 'late'
    | 'lost'
    | 'unread'
    | 'gone'
    | 'exit'
    | 'recover'
    | 'stranded'
    | 'config';
  readonly detail: string;
  /** Whether a caller sent a part of the stream to a host of an earlier version of the system. */
  readonly hasEarlierHost?: boolean;
}
