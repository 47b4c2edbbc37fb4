/** Value types, result codes, timer service, executors, plug-in registry and the interfaces between components. */
package org.coriandercrank.kernel;
