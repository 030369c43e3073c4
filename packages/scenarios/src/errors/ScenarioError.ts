import ModernError from 'modern-errors';

/** A scenario or the demo cannot continue, or an expectation does not hold. */
export const ScenarioError = ModernError.subclass('ScenarioError');
