export * from './demo/runDemo.js';
export * from './errors/ScenarioError.js';
export * from './launcher/Deployment.js';
export * from './launcher/DeploymentSpec.js';
export * from './launcher/startDeployment.js';
export * from './launcher/startProcess.js';
export * from './launcher/waitUntil.js';
export * from './overhead/measureOverhead.js';
