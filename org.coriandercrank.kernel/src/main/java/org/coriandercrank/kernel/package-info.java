/** Value types, result codes, timer service, rings, plug-in registry and the interfaces between parts. */
package org.coriandercrank.kernel;
