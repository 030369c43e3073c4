/** State of an engine's models, as reported by the engine. */
export interface EngineState {
  /** Weights that are loaded or being loaded, by model. */
  readonly weightsByModel: Readonly<Record<string, string>>;
  readonly maxModels: number;
}
