export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Structured log. Fields must not contain a prompt, a response or a key. */
export interface LogSink {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields, cause?: unknown): void;
}
