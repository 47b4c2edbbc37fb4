/** The registry of adapters and policies that plug-ins provide. */
package org.coriandercrank.kernel.plugin;
