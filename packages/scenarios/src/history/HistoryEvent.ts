import type { CallLabel } from './CallLabel.js';

interface Timestamped {
  /** Wall-clock milliseconds. */
  readonly atMs: number;
}

/** A caller sent an attempt of a call. */
export interface InvokedEvent extends Timestamped {
  readonly kind: 'invoked';
  readonly call: string;
  readonly attempt: number;
  readonly repeatable: boolean;
  /** Entry hosts in the order in which the caller tries them. */
  readonly hosts: readonly string[];
  /** Idempotency key. */
  readonly key?: string | undefined;
  readonly homeRegion?: string | undefined;
  /** Prompt as the engine stand-in extracts it, for inference calls. */
  readonly prompt?: string | undefined;
  /** Tokens of the complete response, for inference calls. */
  readonly tokens?: number | undefined;
  /** Id of the order, for orders and status checks. */
  readonly order?: string | undefined;
}

/** An attempt ended: its caller received a response, an error or nothing. */
export interface AnsweredEvent extends Timestamped {
  readonly kind: 'answered';
  readonly call: string;
  readonly attempt: number;
  readonly label: CallLabel;
  /** Entry host that the caller tried last. */
  readonly host?: string | undefined;
  readonly statusCode?: number | undefined;
  /** Code of a typed error. */
  readonly code?: string | undefined;
  /** Received text: the generated text, or the id of the order in the response. */
  readonly text?: string | undefined;
}

/** A backend server received a request. */
export interface ArrivedEvent extends Timestamped {
  readonly kind: 'arrived';
  readonly call: string | undefined;
  readonly server: string;
  readonly region: string;
  /** Entry hosts that the request has visited, when its header lists them. */
  readonly path?: readonly string[] | undefined;
}

/** A backend server executed a request. */
export interface ExecutedEvent extends Timestamped {
  readonly kind: 'executed';
  readonly call: string | undefined;
  readonly server: string;
  readonly region: string;
}

/** A backend server started, or announced that it is leaving. */
export interface ServerStateEvent extends Timestamped {
  readonly kind: 'started' | 'leaving';
  readonly server: string;
}

/** A process of an entry host adopted a configuration version. */
export interface ConfigEvent extends Timestamped {
  readonly kind: 'config';
  readonly host: string;
  readonly pid: number;
  readonly version: number;
}

/** A step of the scenario began. */
export interface StepEvent extends Timestamped {
  readonly kind: 'step';
  readonly step: string;
}

export type HistoryEvent =
  | InvokedEvent
  | AnsweredEvent
  | ArrivedEvent
  | ExecutedEvent
  | ServerStateEvent
  | ConfigEvent
  | StepEvent;
