import ModernError from 'modern-errors';

/** A scenario or the demo could not go on, or an expectation does not hold. */
export const ScenarioError = ModernError.subclass('ScenarioError');
