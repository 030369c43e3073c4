/** One order to an engine. Every order sets a state, so repeating it changes nothing. */
export type EngineOrder =
  | { readonly kind: 'load-model'; readonly model: string; readonly weights: string }
  | { readonly kind: 'unload-model'; readonly model: string };
