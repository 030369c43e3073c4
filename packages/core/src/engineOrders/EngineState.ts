/** What an engine says of its models. */
export interface EngineState {
  /** Weights in use or being loaded, by model. */
  readonly weightsByModel: Readonly<Record<string, string>>;
  readonly maxModels: number;
}
