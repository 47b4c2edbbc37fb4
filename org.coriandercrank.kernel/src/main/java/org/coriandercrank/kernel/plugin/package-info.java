/** The plug-in registry. */
package org.coriandercrank.kernel.plugin;
