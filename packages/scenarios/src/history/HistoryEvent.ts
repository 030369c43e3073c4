import type { CallLabel } from './CallLabel.js';

interface At {
  /** Wall-clock milliseconds. */
  readonly atMs: number;
}

/** A caller sent an attempt of a call. */
export interface InvokedEvent extends At {
  readonly kind: 'invoked';
  readonly call: string;
  readonly attempt: number;
  readonly repeatable: boolean;
  /** Entry hosts in the order in which the caller tries them. */
  readonly hosts: readonly string[];
  /** Idempotency key. */
  readonly key?: string | undefined;
  readonly homeRegion?: string | undefined;
  /** Prompt as the engine reads it, for inference. */
  readonly prompt?: string | undefined;
  /** Tokens of the whole answer, for inference. */
  readonly tokens?: number | undefined;
  /** Order that is placed or asked for, for orders and status checks. */
  readonly order?: string | undefined;
}

/** An attempt ended for its caller. */
export interface AnsweredEvent extends At {
  readonly kind: 'answered';
  readonly call: string;
  readonly attempt: number;
  readonly label: CallLabel;
  /** Entry host that answered last. */
  readonly host?: string | undefined;
  readonly statusCode?: number | undefined;
  /** Code of a typed error. */
  readonly code?: string | undefined;
  /** Text that arrived: generated text, or the id of the order that the answer names. */
  readonly text?: string | undefined;
}

/** A request arrived at a backend server. */
export interface ArrivedEvent extends At {
  readonly kind: 'arrived';
  readonly call: string | undefined;
  readonly server: string;
  readonly region: string;
  /** Entry hosts the request has visited, when it names them. */
  readonly path?: readonly string[] | undefined;
}

/** A backend server ran a request. */
export interface ExecutedEvent extends At {
  readonly kind: 'executed';
  readonly call: string | undefined;
  readonly server: string;
  readonly region: string;
}

/** A backend server started, or announced that it is leaving. */
export interface ServerStateEvent extends At {
  readonly kind: 'started' | 'leaving';
  readonly server: string;
}

/** An entry host's process took a configuration version over. */
export interface ConfigEvent extends At {
  readonly kind: 'config';
  readonly host: string;
  readonly pid: number;
  readonly version: number;
}

/** The scenario did a step. */
export interface StepEvent extends At {
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
